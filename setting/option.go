package setting

import (
	"fmt"
	"io"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"masticbay/job"
)

// Each field of a settings struct is an option that its tags describe: toml is
// the key, default the default value, min and max the range, oneof the allowed
// values, format a named format and doc the meaning. The tag required marks an
// option that must be set.

// applyDefaults sets the fields of the struct v from their default tags.
func applyDefaults(v reflect.Value) {
	for i := range v.NumField() {
		f, field := v.Type().Field(i), v.Field(i)
		if field.Kind() == reflect.Struct {
			applyDefaults(field)
			continue
		}
		if text, ok := f.Tag.Lookup("default"); ok {
			setDefault(field, text)
		}
	}
}

// setDefault parses a default value into field. It panics if the value can't be
// parsed, which the tests of this package rule out.
func setDefault(field reflect.Value, text string) {
	var err error
	switch p := field.Addr().Interface().(type) {
	case *string:
		*p = text
	case *bool:
		*p, err = strconv.ParseBool(text)
	case *int:
		*p, err = strconv.Atoi(text)
	case *float64:
		*p, err = strconv.ParseFloat(text, 64)
	case *Duration:
		err = p.UnmarshalText([]byte(text))
	default:
		err = fmt.Errorf("no default for %s", field.Type())
	}
	if err != nil {
		panic(err)
	}
}

// Check validates every option of a role's settings. It returns a
// *job.ValueError for the first value that is not allowed.
func Check[T Role](cfg *T) error {
	return checkStruct(reflect.ValueOf(cfg).Elem(), "")
}

func checkStruct(v reflect.Value, prefix string) error {
	for i := range v.NumField() {
		f, field := v.Type().Field(i), v.Field(i)
		key := prefix + f.Tag.Get("toml")
		if field.Kind() == reflect.Struct {
			if err := checkStruct(field, key+"."); err != nil {
				return err
			}
			continue
		}
		if err := checkOption(f.Tag, field, key); err != nil {
			return err
		}
	}
	return nil
}

func checkOption(tag reflect.StructTag, field reflect.Value, key string) error {
	text := fmt.Sprint(field.Interface())
	if d, ok := field.Interface().(Duration); ok {
		text = d.D().String()
	}
	invalid := func(allowed string) error {
		return &job.ValueError{Field: key, Value: text, Allowed: allowed}
	}
	if _, ok := tag.Lookup("required"); ok && field.IsZero() {
		return invalid("a value; this key is required")
	}
	if allowed, ok := tag.Lookup("oneof"); ok && !slices.Contains(strings.Split(allowed, " "), text) {
		return invalid("one of " + allowed)
	}
	if !inRange(field, tag.Get("min"), tag.Get("max")) {
		return invalid(rangeText(tag))
	}
	if format := tag.Get("format"); format != "" && !validFormat(field, format) {
		return invalid(formatTexts[format])
	}
	return nil
}

func rangeText(tag reflect.StructTag) string {
	if tag.Get("max") == "" {
		return "at least " + tag.Get("min")
	}
	return tag.Get("min") + " to " + tag.Get("max")
}

func inRange(field reflect.Value, low, high string) bool {
	n := numericValue(field)
	return (low == "" || n >= parseBound(field, low)) && (high == "" || n <= parseBound(field, high))
}

func numericValue(field reflect.Value) float64 {
	switch {
	case field.CanInt():
		return float64(field.Int())
	case field.CanFloat():
		return field.Float()
	}
	return 0
}

// parseBound parses the lower or upper bound of a field, in the field's unit.
func parseBound(field reflect.Value, text string) float64 {
	if field.Type() == reflect.TypeFor[Duration]() {
		d, _ := time.ParseDuration(text)
		return float64(d)
	}
	n, _ := strconv.ParseFloat(text, 64)
	return n
}

var formatTexts = map[string]string{
	"address":   "an IP number and a port, as in 127.0.0.1:7401",
	"addresses": "a list of IP numbers and ports, as in [\"127.0.0.1:7402\"]",
	"name":      job.AllowedName,
}

func validFormat(field reflect.Value, format string) bool {
	switch v := field.Interface().(type) {
	case []string:
		return !slices.ContainsFunc(v, func(s string) bool { return !validAddress(s) })
	case string:
		if format == "name" {
			return job.ValidName(v)
		}
		return v == "" || validAddress(v)
	}
	return false
}

func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n <= 65535
}

// Reference writes a line of documentation for every option of a role.
func Reference[T Role](w io.Writer) error {
	cfg := Default[T]()
	return writeReference(w, reflect.ValueOf(cfg), "")
}

func writeReference(w io.Writer, v reflect.Value, prefix string) error {
	for i := range v.NumField() {
		f, field := v.Type().Field(i), v.Field(i)
		key := prefix + f.Tag.Get("toml")
		if field.Kind() == reflect.Struct {
			if err := writeReference(w, field, key+"."); err != nil {
				return err
			}
			continue
		}
		if _, err := fmt.Fprintf(w, "%-24s %s%s\n", key, f.Tag.Get("doc"), optionDetails(f.Tag)); err != nil {
			return err
		}
	}
	return nil
}

func optionDetails(tag reflect.StructTag) string {
	var parts []string
	if d := tag.Get("default"); d != "" {
		parts = append(parts, "default "+d)
	}
	if tag.Get("min") != "" {
		parts = append(parts, rangeText(tag))
	}
	if o := tag.Get("oneof"); o != "" {
		parts = append(parts, "one of "+o)
	}
	if _, ok := tag.Lookup("required"); ok {
		parts = append(parts, "required")
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, "; ") + ")"
}
