// ================================================================
// Tests which values of the limit header are valid limits.
// ================================================================

package serverlimit

import "testing"

func TestOnlyDecimalNumbersAreLimits(t *testing.T) {
	for _, c := range []struct {
		text string
		want AdvertisedLimit
	}{
		{"1", AdvertisedLimit{Valid, 1}}, {"1.9", AdvertisedLimit{Valid, 1.9}}, {" 0.25 ", AdvertisedLimit{Valid, 0.25}}, {"0", AdvertisedLimit{Valid, 0}},
		{".5", AdvertisedLimit{Valid, 0.5}}, {"2e1", AdvertisedLimit{Valid, 20}}, {"1000000", AdvertisedLimit{Valid, 1e6}},
		{"", AdvertisedLimit{kind: Invalid}}, {"many", AdvertisedLimit{kind: Invalid}}, {"-1", AdvertisedLimit{kind: Invalid}},
		{"NaN", AdvertisedLimit{kind: Invalid}}, {"inf", AdvertisedLimit{kind: Invalid}}, {"1e400", AdvertisedLimit{kind: Invalid}},
		{"1000001", AdvertisedLimit{kind: Invalid}}, {"0x10", AdvertisedLimit{kind: Invalid}}, {"1, 2", AdvertisedLimit{kind: Invalid}},
		{"1.2.3", AdvertisedLimit{kind: Invalid}}, {"+", AdvertisedLimit{kind: Invalid}}, {"1 /s", AdvertisedLimit{kind: Invalid}},
	} {
		if got := ParseHeader([]string{c.text}); got != c.want {
			t.Errorf("%q gives %v, want %v", c.text, got, c.want)
		}
	}
	if got := ParseHeader(nil); got.Kind() != None {
		t.Errorf("a missing header gives %v", got)
	}
	if got := ParseHeader([]string{"1", "2"}); got.Kind() != Invalid {
		t.Errorf("two headers give %v", got)
	}
}
