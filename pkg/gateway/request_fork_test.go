package gateway

import (
	"context"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"unsafe"

	"github.com/tidepost/tidepost/internal/golden"
)

// TestForkOmits compares the fields that a copy of a request does not take over with a golden file, so that a
// new field is copied or left out on purpose: a copy that forgot where the request may be served would be
// sent anywhere.
func TestForkOmits(t *testing.T) {
	q := &request{}
	fill(reflect.ValueOf(q).Elem())
	copied := reflect.ValueOf(q.fork(context.Background())).Elem()
	var b strings.Builder
	for i := range copied.NumField() {
		if copied.Field(i).IsZero() {
			b.WriteString(copied.Type().Field(i).Name + "\n")
		}
	}
	golden.Check(t, "testdata/fork_omits.txt", b.String())
}

// fill sets a value to one that is not zero, and the fields of a struct likewise.
func fill(v reflect.Value) {
	v = reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem() // fields are not exported
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(1)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(1)
	case reflect.Float64:
		v.SetFloat(1)
	case reflect.String:
		v.SetString("x")
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
	case reflect.Func:
		v.Set(reflect.MakeFunc(v.Type(), func([]reflect.Value) []reflect.Value { return nil }))
	case reflect.Interface:
		for _, candidate := range []any{context.Background(), httptest.NewRecorder()} {
			if reflect.TypeOf(candidate).Implements(v.Type()) {
				v.Set(reflect.ValueOf(candidate))
			}
		}
	}
}
