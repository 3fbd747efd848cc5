package serverlimit

import "testing"

func TestOnlyDecimalNumbersAreLimits(t *testing.T) {
	for _, c := range []struct {
		text string
		want Saying
	}{
		{"1", Saying{Named, 1}}, {"1.9", Saying{Named, 1.9}}, {" 0.25 ", Saying{Named, 0.25}}, {"0", Saying{Named, 0}},
		{".5", Saying{Named, 0.5}}, {"2e1", Saying{Named, 20}}, {"1000000", Saying{Named, 1e6}},
		{"", Saying{kind: Unreadable}}, {"many", Saying{kind: Unreadable}}, {"-1", Saying{kind: Unreadable}},
		{"NaN", Saying{kind: Unreadable}}, {"inf", Saying{kind: Unreadable}}, {"1e400", Saying{kind: Unreadable}},
		{"1000001", Saying{kind: Unreadable}}, {"0x10", Saying{kind: Unreadable}}, {"1, 2", Saying{kind: Unreadable}},
		{"1.2.3", Saying{kind: Unreadable}}, {"+", Saying{kind: Unreadable}}, {"1 /s", Saying{kind: Unreadable}},
	} {
		if got := Read([]string{c.text}); got != c.want {
			t.Errorf("%q is %v, want %v", c.text, got, c.want)
		}
	}
	if got := Read(nil); got.Kind() != None {
		t.Errorf("no field is %v", got)
	}
	if got := Read([]string{"1", "2"}); got.Kind() != Unreadable {
		t.Errorf("two fields are %v", got)
	}
}
