// Package jsonc decodes JSON with comments into structs strictly and reports
// every fault with its place.
//
// Unknown fields, repeated keys, wrong types and unusable durations are
// faults. All faults of a file are reported in one run.
//
// It owns no state and relies on hujson for the syntax. It exists because a fault must be
// told with file, line, column and field.
//
// # Usage
//
//	dec := jsonc.Decode("vm-1.jsonc", raw, &settings)
//	dec.Check(settings.Zone != "", "zone", "is empty; give the availability zone")
//	if err := dec.Err(); err != nil { ... }
package jsonc

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Fault is one thing wrong with a file.
type Fault struct {
	File      string
	Line, Col int // from 1; the column counts bytes
	Field     string
	Message   string
}

// Error formats the fault as FILE:LINE:COL: field: message.
func (f Fault) Error() string {
	field := f.Field
	if field == "" {
		field = "(document)"
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.File, f.Line, f.Col, field, f.Message)
}

// Decoder holds the faults found and the places of the fields.
type Decoder struct {
	file   string
	raw    []byte
	places map[string]int // byte offset of a field
	faults []Fault
}

// Decode fills target, a pointer to a struct, from raw.
func Decode(file string, raw []byte, target any) *Decoder {
	d := &Decoder{file: file, raw: raw, places: map[string]int{}}
	v, err := hujson.Parse(raw)
	if err != nil {
		d.syntax(err)
		return d
	}
	d.value(v, "", reflect.ValueOf(target).Elem())
	return d
}

// Err returns all faults joined, in the order of the file, or nil.
func (d *Decoder) Err() error {
	slices.SortStableFunc(d.faults, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Col - b.Col
	})
	errs := make([]error, len(d.faults))
	for i, f := range d.faults {
		errs[i] = f
	}
	return errors.Join(errs...)
}

// Faults returns the faults found so far.
func (d *Decoder) Faults() []Fault { return d.faults }

// Check records a fault of a field unless ok. A field that is absent is placed
// at its nearest enclosing object.
func (d *Decoder) Check(ok bool, field, format string, args ...any) {
	if !ok {
		d.fault(d.offset(field), field, fmt.Sprintf(format, args...))
	}
}

func (d *Decoder) offset(field string) int {
	for {
		if at, ok := d.places[field]; ok {
			return at
		}
		cut := strings.LastIndexByte(field, '.')
		if cut < 0 {
			return d.places[""]
		}
		field = field[:cut]
	}
}

func (d *Decoder) fault(offset int, field, message string) {
	before := d.raw[:min(offset, len(d.raw))]
	line := 1 + strings.Count(string(before), "\n")
	col := len(before) - strings.LastIndexByte(string(before), '\n')
	f := Fault{File: d.file, Line: line, Col: col, Field: field, Message: message}
	if !slices.Contains(d.faults, f) {
		d.faults = append(d.faults, f)
	}
}

// syntax records a parse error, whose place hujson gives in its text.
func (d *Decoder) syntax(err error) {
	f := Fault{File: d.file, Line: 1, Col: 1, Message: err.Error()}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &f.Line, &f.Col); n == 2 {
		if cut := strings.Index(text, ": "); cut >= 0 {
			f.Message = text[cut+2:]
		}
	}
	d.faults = append(d.faults, f)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *Decoder) value(v hujson.Value, path string, target reflect.Value) {
	d.places[path] = v.StartOffset
	if target.Type() == durationType {
		d.duration(v, path, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.structure(v, path, target)
	case reflect.Map:
		d.mapping(v, path, target)
	case reflect.Slice:
		d.list(v, path, target)
	default:
		d.literal(v, path, target)
	}
}

func (d *Decoder) object(v hujson.Value, path string, each func(name string, m hujson.ObjectMember)) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.fault(v.StartOffset, path, fmt.Sprintf("is %s; an object belongs here", kindOf(v)))
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			d.fault(m.Name.StartOffset, join(path, name), "is repeated; keep one")
			continue
		}
		seen[name] = true
		each(name, m)
	}
}

func (d *Decoder) structure(v hujson.Value, path string, target reflect.Value) {
	fields := fieldsOf(target)
	d.object(v, path, func(name string, m hujson.ObjectMember) {
		field, ok := fields[name]
		if !ok {
			d.fault(m.Name.StartOffset, join(path, name), "is unknown; fields here are "+names(fields))
			return
		}
		d.value(m.Value, join(path, name), field)
	})
}

func (d *Decoder) mapping(v hujson.Value, path string, target reflect.Value) {
	out := reflect.MakeMap(target.Type())
	d.object(v, path, func(name string, m hujson.ObjectMember) {
		elem := reflect.New(target.Type().Elem()).Elem()
		d.value(m.Value, join(path, name), elem)
		out.SetMapIndex(reflect.ValueOf(name), elem)
	})
	target.Set(out)
}

func (d *Decoder) list(v hujson.Value, path string, target reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.fault(v.StartOffset, path, fmt.Sprintf("is %s; a list belongs here", kindOf(v)))
		return
	}
	out := reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		d.value(e, fmt.Sprintf("%s[%d]", path, i), out.Index(i))
	}
	target.Set(out)
}

func (d *Decoder) duration(v hujson.Value, path string, target reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.fault(v.StartOffset, path, fmt.Sprintf("is %s; a duration such as \"250ms\" belongs here", kindOf(v)))
		return
	}
	parsed, err := time.ParseDuration(lit.String())
	if err != nil {
		d.fault(v.StartOffset, path, fmt.Sprintf("is %q; a duration such as \"250ms\" belongs here", lit.String()))
		return
	}
	target.SetInt(int64(parsed))
}

func (d *Decoder) literal(v hujson.Value, path string, target reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if ok {
		if err := json.Unmarshal(lit, target.Addr().Interface()); err == nil && lit.Kind() != 'n' {
			return
		}
	}
	d.fault(v.StartOffset, path, fmt.Sprintf("is %s; %s belongs here", kindOf(v), wanted(target.Kind())))
}

// wanted names a kind of literal as an operator would.
func wanted(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func kindOf(v hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case 'n':
		return "null"
	}
	return string(v.Value.(hujson.Literal))
}

func fieldsOf(target reflect.Value) map[string]reflect.Value {
	out := map[string]reflect.Value{}
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = target.Field(i)
		}
	}
	return out
}

func names(fields map[string]reflect.Value) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
