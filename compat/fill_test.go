package compat

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"
)

// filled returns a value of v's type in which no exported field is zero. The
// same type always gets the same value.
func filled(v any) any {
	out := reflect.New(reflect.TypeOf(v)).Elem()
	n := 0
	fill(out, &n)
	return out.Interface()
}

// inserted are fields that stand before some that earlier versions send: these keep their numbers.
var inserted = map[string]bool{
	"tally.Report.Rests": true, "tally.Report.Joined": true, "tally.Report.Fleet": true, "tally.Count.Missing": true,
	"tally.Report.Span": true, "quota.Snapshot.Spent": true, "quota.Snapshot.ZoneTotal": true, "quota.ReportAnswer.From": true, "quota.ReportAnswer.Span": true,
}

func fill(v reflect.Value, n *int) {
	*n++
	switch {
	case v.Type() == reflect.TypeFor[time.Time]():
		v.Set(reflect.ValueOf(time.Date(2026, 12, 2, 12, 0, *n, 0, time.UTC)))
		return
	case v.Type() == reflect.TypeFor[json.RawMessage]():
		v.SetBytes(fmt.Appendf(nil, `{"body":%d}`, *n))
		return
	case v.Type() == reflect.TypeFor[[]byte]():
		v.SetBytes(fmt.Appendf(nil, "bytes-%d", *n))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", *n))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint8:
		v.SetUint(1) // enumerations have at least two values
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n)
		fill(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			switch {
			case !field.IsExported():
			case inserted[v.Type().String()+"."+field.Name]:
				own := *n
				fill(v.Field(i), &own)
			default:
				fill(v.Field(i), n)
			}
		}
	default:
		panic("compat: unreachable kind " + v.Kind().String())
	}
}

// shape lists the exported fields of a type with their kinds, as package gob
// sees them: names of types and of packages are not sent.
func shape(t reflect.Type, depth int) string {
	indent := strings.Repeat("  ", depth)
	switch {
	case t == reflect.TypeFor[time.Time](), t == reflect.TypeFor[[]byte]():
		return t.String() + "\n"
	case t.Kind() == reflect.Slice:
		return "list of " + shape(t.Elem(), depth)
	case t.Kind() == reflect.Map:
		return "map of " + strings.TrimSpace(shape(t.Key(), depth)) + " to " + shape(t.Elem(), depth)
	case t.Kind() != reflect.Struct:
		return t.Kind().String() + "\n"
	}
	var b strings.Builder
	b.WriteString("struct\n")
	for i := range t.NumField() {
		if f := t.Field(i); f.IsExported() {
			fmt.Fprintf(&b, "%s  %s %s", indent, f.Name, shape(f.Type, depth+1))
		}
	}
	return b.String()
}
