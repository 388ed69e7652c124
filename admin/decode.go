package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strings"
)

const (
	stepDecode = "decode"
	// maxNestingDepth bounds the nesting of a request body. The deepest valid
	// body has 4 levels.
	maxNestingDepth = 16
)

// readBody returns the body of a request. It refuses a body that is too large or
// not declared as JSON.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, Errorf(CodeTooLarge, stepDecode, "the body exceeds %d bytes", MaxBodyBytes)
	case err != nil:
		return nil, Errorf(CodeInvalid, stepDecode, "the body cannot be read: %w", err)
	}
	if len(body) == 0 {
		return nil, nil
	}
	// Browsers send this type across origins only after a preflight request.
	if kind, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || kind != "application/json" {
		return nil, Errorf(CodeInvalid, stepDecode, "the Content-Type is not application/json")
	}
	return body, nil
}

// decode decodes a body that is one JSON object with known keys. An empty body
// counts as an empty object.
func decode(body []byte, target any) error {
	if len(body) == 0 {
		body = []byte("{}")
	}
	if err := checkObject(body); err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return Errorf(CodeInvalid, stepDecode, "the body is not valid: %w", err)
	}
	return nil
}

// checkObject refuses bodies that encoding/json accepts silently: several values,
// a value that is not an object, and keys that are repeated or differ only in
// case, of which encoding/json would use the last one.
func checkObject(body []byte) error {
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{")) {
		return Errorf(CodeInvalid, stepDecode, "the body is not a JSON object")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := checkValue(decoder, 0); err != nil {
		return Errorf(CodeInvalid, stepDecode, "the body is not valid: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return Errorf(CodeInvalid, stepDecode, "the body has more than one JSON value")
	}
	return nil
}

// checkValue reads one JSON value. It fails when the nesting is too deep or an
// object repeats a key.
func checkValue(decoder *json.Decoder, depth int) error {
	if depth > maxNestingDepth {
		return fmt.Errorf("more than %d levels", maxNestingDepth)
	}
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	delimiter, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	seen := map[string]bool{}
	for decoder.More() {
		if delimiter == '{' {
			if err := checkKey(decoder, seen); err != nil {
				return err
			}
		}
		if err := checkValue(decoder, depth+1); err != nil {
			return err
		}
	}
	_, err = decoder.Token() // The closing delimiter.
	return err
}

// checkKey reads one key of an object and adds it to seen. It fails when the key
// is already there.
func checkKey(decoder *json.Decoder, seen map[string]bool) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	key, ok := token.(string)
	if !ok {
		return fmt.Errorf("a key is not a string")
	}
	// Folds case as encoding/json does, for which U+017F equals s.
	folded := strings.ToLower(strings.ToUpper(key))
	if seen[folded] {
		return fmt.Errorf("key %q is repeated", key)
	}
	seen[folded] = true
	return nil
}
