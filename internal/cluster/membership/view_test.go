package membership

import (
	"encoding/json"
	"testing"
)

// A view is decoded from JSON as it was encoded: the operator commands and the testbed read it.
func TestViewAsJSON(t *testing.T) {
	d := New(settings("a"))
	d.Tick(1000)
	d.Receive(1001, packetFromB(Update{
		Name: "c", Address: "127.0.0.3:1", State: Suspect, Incarnation: 7, Run: 1<<64 - 1, By: "b",
	}))
	v := d.View()
	raw, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	var back View
	if err := json.Unmarshal(raw, &back); err != nil {
		t.Fatal(err)
	}
	c, known := back.Get("c")
	if want, _ := v.Get("c"); !known || c != want || c.State != Suspect || c.By != "b" {
		t.Errorf("%+v, want %+v", c, want)
	}
	if p := back.Present(); len(p) != 3 || p[0] != "a" {
		t.Errorf("%v", p)
	}
	if _, known := back.Get("x"); known {
		t.Error("an unknown member is found")
	}
	var s State
	if s.UnmarshalText([]byte("well")) == nil {
		t.Error("an invalid state is accepted")
	}
}
