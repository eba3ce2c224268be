// Package jsonc strictly decodes JSON with comments into structs and reports
// every fault with its position.
//
// Unknown fields, repeated keys, wrong types and invalid durations are
// faults. All faults of a file are reported in one run, except that a syntax
// error ends the decoding.
//
// The package has no global state and uses hujson to parse the syntax. It exists because
// a fault must be reported with file, line, column and field.
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

// Fault is an error in a file, with its position.
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

// Decoder holds the faults found so far and the positions of the fields.
type Decoder struct {
	file    string
	raw     []byte
	offsets map[string]int // byte offset of each field, by its path
	faults  []Fault
}

// Decode fills target, a pointer to a struct, from raw. Err returns the faults; file is the
// file name in them.
func Decode(file string, raw []byte, target any) *Decoder {
	d := &Decoder{file: file, raw: raw, offsets: map[string]int{}}
	v, err := hujson.Parse(raw)
	if err != nil {
		d.addSyntaxError(err)
		return d
	}
	d.decodeValue(v, "", reflect.ValueOf(target).Elem())
	return d
}

// Err returns all faults joined, sorted by their position in the file, or nil if there are none.
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

// Check records a fault of a field unless ok. If the field is absent, the fault has
// the position of the nearest enclosing object.
func (d *Decoder) Check(ok bool, field, format string, args ...any) {
	if !ok {
		d.addFault(d.offsetOf(field), field, fmt.Sprintf(format, args...))
	}
}

// offsetOf returns the byte offset of a field or, if it is absent, of its nearest enclosing object.
func (d *Decoder) offsetOf(field string) int {
	for {
		if at, ok := d.offsets[field]; ok {
			return at
		}
		cut := strings.LastIndexByte(field, '.')
		if cut < 0 {
			return d.offsets[""]
		}
		field = field[:cut]
	}
}

// addFault records a fault at a byte offset, unless the same fault has been recorded.
func (d *Decoder) addFault(offset int, field, message string) {
	before := d.raw[:min(offset, len(d.raw))]
	line := 1 + strings.Count(string(before), "\n")
	col := len(before) - strings.LastIndexByte(string(before), '\n')
	f := Fault{File: d.file, Line: line, Col: col, Field: field, Message: message}
	if !slices.Contains(d.faults, f) {
		d.faults = append(d.faults, f)
	}
}

// addSyntaxError records a parse error. hujson gives the position only in the error's text.
func (d *Decoder) addSyntaxError(err error) {
	f := Fault{File: d.file, Line: 1, Col: 1, Message: err.Error()}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if n, _ := fmt.Sscanf(text, "line %d, column %d:", &f.Line, &f.Col); n == 2 {
		if cut := strings.Index(text, ": "); cut >= 0 {
			f.Message = text[cut+2:]
		}
	}
	d.faults = append(d.faults, f)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

var durationType = reflect.TypeFor[time.Duration]()

// decodeValue decodes v, the field at path, into target.
func (d *Decoder) decodeValue(v hujson.Value, path string, target reflect.Value) {
	d.offsets[path] = v.StartOffset
	if target.Type() == durationType {
		d.decodeDuration(v, path, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		d.decodeStruct(v, path, target)
	case reflect.Map:
		d.decodeMap(v, path, target)
	case reflect.Slice:
		d.decodeSlice(v, path, target)
	default:
		d.decodeLiteral(v, path, target)
	}
}

// eachMember calls each for the members of object v, except those that repeat a key. It records
// a fault for each of these, and if v is not an object.
func (d *Decoder) eachMember(v hujson.Value, path string, each func(name string, m hujson.ObjectMember)) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addFault(v.StartOffset, path, fmt.Sprintf("is %s; an object belongs here", describeValue(v)))
		return
	}
	seen := map[string]bool{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			d.addFault(m.Name.StartOffset, joinPath(path, name), "is repeated; keep one")
			continue
		}
		seen[name] = true
		each(name, m)
	}
}

func (d *Decoder) decodeStruct(v hujson.Value, path string, target reflect.Value) {
	fields := fieldsByJSONName(target)
	d.eachMember(v, path, func(name string, m hujson.ObjectMember) {
		field, ok := fields[name]
		if !ok {
			d.addFault(m.Name.StartOffset, joinPath(path, name), "is unknown; fields here are "+fieldNames(fields))
			return
		}
		d.decodeValue(m.Value, joinPath(path, name), field)
	})
}

func (d *Decoder) decodeMap(v hujson.Value, path string, target reflect.Value) {
	out := reflect.MakeMap(target.Type())
	d.eachMember(v, path, func(name string, m hujson.ObjectMember) {
		elem := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(m.Value, joinPath(path, name), elem)
		out.SetMapIndex(reflect.ValueOf(name), elem)
	})
	target.Set(out)
}

func (d *Decoder) decodeSlice(v hujson.Value, path string, target reflect.Value) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addFault(v.StartOffset, path, fmt.Sprintf("is %s; a list belongs here", describeValue(v)))
		return
	}
	out := reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements))
	for i, e := range arr.Elements {
		d.decodeValue(e, fmt.Sprintf("%s[%d]", path, i), out.Index(i))
	}
	target.Set(out)
}

func (d *Decoder) decodeDuration(v hujson.Value, path string, target reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.addFault(v.StartOffset, path, fmt.Sprintf("is %s; a duration such as \"250ms\" belongs here", describeValue(v)))
		return
	}
	parsed, err := time.ParseDuration(lit.String())
	if err != nil {
		d.addFault(v.StartOffset, path, fmt.Sprintf("is %q; a duration such as \"250ms\" belongs here", lit.String()))
		return
	}
	target.SetInt(int64(parsed))
}

func (d *Decoder) decodeLiteral(v hujson.Value, path string, target reflect.Value) {
	lit, ok := v.Value.(hujson.Literal)
	if ok {
		if err := json.Unmarshal(lit, target.Addr().Interface()); err == nil && lit.Kind() != 'n' {
			return
		}
	}
	d.addFault(v.StartOffset, path, fmt.Sprintf("is %s; %s belongs here", describeValue(v), expectedKind(target.Kind())))
}

// expectedKind describes the literal that a field of kind k takes, in words for operators.
func expectedKind(k reflect.Kind) string {
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

// describeValue describes v for a message to operators.
func describeValue(v hujson.Value) string {
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

// fieldsByJSONName returns the fields of struct target by the names in their json tags.
func fieldsByJSONName(target reflect.Value) map[string]reflect.Value {
	out := map[string]reflect.Value{}
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			out[name] = target.Field(i)
		}
	}
	return out
}

// fieldNames returns the sorted names of the fields, separated by commas.
func fieldNames(fields map[string]reflect.Value) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	slices.Sort(list)
	return strings.Join(list, ", ")
}
