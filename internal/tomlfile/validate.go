package tomlfile

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// emptyHash is the SHA-256 of the empty string, which is not a valid key.
const emptyHash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		return name
	})
	custom := map[string]validator.Func{
		"name":     func(fl validator.FieldLevel) bool { return namePattern.MatchString(fl.Field().String()) },
		"key_hash": func(fl validator.FieldLevel) bool { return isKeyHash(fl.Field().String()) },
		"ip_port":  func(fl validator.FieldLevel) bool { return isIPPort(fl.Field().String()) },
		"finite":   func(fl validator.FieldLevel) bool { return isFinite(fl.Field().Float()) },
	}
	for tag, f := range custom {
		if err := v.RegisterValidation(tag, f); err != nil {
			panic(err)
		}
	}
	return v
}

func isKeyHash(s string) bool { return hashPattern.MatchString(s) && s != emptyHash }

func isIPPort(s string) bool {
	addr, err := netip.ParseAddrPort(s)
	return err == nil && addr.Port() > 0
}

func isFinite(f float64) bool { return !math.IsInf(f, 0) && !math.IsNaN(f) }

// Problem describes a rule that a decoded value violates. Key is the dotted key
// of the value.
type Problem struct {
	Key, Text string
}

// Validate checks the "validate" tags of a struct. In addition to the rules of
// the validator package it supports "name", "key_hash" (SHA-256 in lower-case
// hex), "ip_port" and "finite".
func Validate(value any) []Problem {
	err := validate.Struct(value)
	var violations validator.ValidationErrors
	if !errors.As(err, &violations) {
		return nil
	}
	problems := make([]Problem, len(violations))
	for i, e := range violations {
		_, key, _ := strings.Cut(e.Namespace(), ".")
		problems[i] = Problem{Key: key, Text: problemText(e)}
	}
	return problems
}

func problemText(e validator.FieldError) string {
	switch e.Tag() {
	case "required":
		return "is missing"
	case "required_with":
		return "is missing beside " + snakeCase(e.Param())
	case "required_without":
		return "is missing, and so is " + snakeCase(e.Param())
	case "cidrv4":
		return fmt.Sprintf("must be a network of IPv4 addresses, not %q", e.Value())
	case "name":
		return "must be 1 to 64 letters, digits, dots, dashes or underscores"
	case "key_hash":
		return "must be the SHA-256 of a key as 64 lower-case hex digits"
	case "ip_port":
		return fmt.Sprintf("must be ip:port, not %q", e.Value())
	case "finite":
		return "must be a finite number"
	case "min":
		return "must have at least " + e.Param() + " element"
	case "gt":
		return "must be more than " + e.Param()
	case "gte":
		return "must be at least " + e.Param()
	case "lte":
		return "must be at most " + e.Param()
	case "gtefield":
		return "must be at least " + snakeCase(e.Param())
	case "oneof":
		return "must be one of: " + strings.ReplaceAll(e.Param(), " ", ", ")
	default:
		return "breaks the rule " + e.Tag()
	}
}

func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if r >= 'A' && r <= 'Z' {
			if i > 0 {
				b.WriteByte('_')
			}
			r += 'a' - 'A'
		}
		b.WriteRune(r)
	}
	return b.String()
}
