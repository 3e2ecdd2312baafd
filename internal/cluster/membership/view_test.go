package membership

import (
	"encoding/json"
	"testing"
)

// A view survives encoding to JSON and decoding, which the operator commands and the testbed rely on. An unknown state
// is rejected.
func TestViewJSONRoundTrip(t *testing.T) {
	d := New(settings("a"))
	d.Tick(1000)
	d.Receive(1001, packetFromB(Update{
		Name: "c", Address: "127.0.0.3:1", State: Suspect, Incarnation: 7, Run: 1<<64 - 1, Accuser: "b",
	}))
	v := d.View()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatalf("encode view: %v", err)
	}
	var back View
	if err := json.Unmarshal(raw, &back); err != nil {
		t.Fatalf("decode view: %v", err)
	}
	c, known := back.Get("c")
	if want, _ := v.Get("c"); !known || c != want || c.State != Suspect || c.Accuser != "b" {
		t.Errorf("member c: got %+v, known %v, want %+v", c, known, want)
	}
	if p := back.Present(); len(p) != 3 || p[0] != "a" {
		t.Errorf("present members: got %v, want a and 2 others", p)
	}
	if _, known := back.Get("x"); known {
		t.Error("unknown member x: got it from the view, want none")
	}
	var s State
	if s.UnmarshalText([]byte("well")) == nil {
		t.Error(`state "well": got no error, want one`)
	}
}
