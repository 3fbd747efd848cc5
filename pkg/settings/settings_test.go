package settings

import "testing"

// FuzzEntrySettings checks that parsing any input returns settings or an error and never panics.
func FuzzEntrySettings(f *testing.F) {
	f.Add([]byte("vm: {name: entry-1, region: north, failure_domain: north-a}\npeers: {listen: \"127.0.0.1:7001\"}\ncallers: {listen: \"127.0.0.1:7011\"}"))
	f.Add([]byte("vm: &a {name: *a}"))
	f.Add([]byte("requests: {max_body: -1}"))
	f.Add([]byte("- 1\n- 2"))
	f.Add([]byte("peers: {entries: {a: b}}"))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var e Entry
		if err := parse("fuzz", raw, EntryKeys(), &e); err == nil {
			_ = e.check("fuzz")
		}
	})
}

func TestDefaultsAreValid(t *testing.T) {
	raw := "vm: {name: entry-1, region: north, failure_domain: north-a}\npeers: {listen: \"127.0.0.1:7001\"}\ncallers: {listen: \"127.0.0.1:7011\"}"
	var e Entry
	if err := parse("defaults", []byte(raw), EntryKeys(), &e); err != nil {
		t.Fatal(err)
	}
	if err := e.check("defaults"); err != nil {
		t.Fatal(err)
	}
}
