// Package setting reads and validates the settings of every command.
//
// # Model
//
// Settings are TOML with camelCase keys. Each option is declared once, as a
// struct field whose tags hold its key, its default, the allowed values and a
// line of documentation; the parser, the checks and the printed reference use
// that declaration. An unknown key, a value out of range and a missing required
// value are errors that name the key, the value and what is allowed.
//
// # Usage
//
//	cfg, err := setting.Read[setting.Entry]("entry.toml")
package setting

import (
	"bytes"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration that is encoded as text, such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Role is the settings struct of one kind of process.
type Role interface {
	Entry | Agent | Site | Platform | Target
}

// Default returns the settings of a role with every default filled in.
func Default[T Role]() (cfg T) {
	applyDefaults(reflect.ValueOf(&cfg).Elem())
	return cfg
}

// Read reads and validates a settings file.
func Read[T Role](path string) (cfg T, err error) {
	defer func() { err = errors.Annotatef(err, "reading settings %s", path) }()
	raw, err := os.ReadFile(path)
	if err != nil {
		return cfg, err
	}
	return Parse[T](raw)
}

// Parse decodes and validates the contents of a settings file.
func Parse[T Role](raw []byte) (cfg T, err error) {
	cfg = Default[T]()
	dec := toml.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&cfg); err != nil {
		return cfg, describeDecodeError(err)
	}
	if err := Check(&cfg); err != nil {
		return cfg, err
	}
	if c, ok := any(&cfg).(consistencyChecker); ok {
		return cfg, c.checkConsistency()
	}
	return cfg, nil
}

// consistencyChecker is implemented by settings whose options depend on one
// another.
type consistencyChecker interface {
	checkConsistency() error
}

// KeyError reports a key that is unknown or whose value can't be decoded.
type KeyError struct {
	Key     string
	Problem string
}

// Error names the key and the problem.
func (e *KeyError) Error() string {
	return "key " + e.Key + ": " + e.Problem
}

// describeDecodeError converts an error of the TOML decoder into one that names
// the key and its position.
func describeDecodeError(err error) error {
	if strict, ok := errors.AsType[*toml.StrictMissingError](err); ok {
		var keys []string
		for _, e := range strict.Errors {
			keys = append(keys, strings.Join(e.Key(), "."))
		}
		return &KeyError{Key: strings.Join(keys, ", "), Problem: "unknown; see masticbay config reference"}
	}
	if e, ok := errors.AsType[*toml.DecodeError](err); ok {
		row, column := e.Position()
		return &KeyError{Key: strings.Join(e.Key(), "."), Problem: fmt.Sprintf("line %d, column %d: %s", row, column, e.Error())}
	}
	return err
}

// FileRole returns the role that a settings file is for, from its "role" key.
func FileRole(raw []byte) (string, error) {
	var head struct {
		Role string `toml:"role"`
	}
	if err := toml.Unmarshal(raw, &head); err != nil {
		return "", describeDecodeError(err)
	}
	return head.Role, nil
}
