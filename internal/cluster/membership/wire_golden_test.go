package membership

import (
	"testing"

	"ottershed/internal/golden"
)

// The bytes of a packet with every field set, signed and not, are those of the golden file: members of different
// versions understand each other.
func TestGoldenPackets(t *testing.T) {
	packet := &Packet{
		Kind: PingReq, From: "n0", Address: "127.0.0.1:7946", Incarnation: 5, Run: 1 << 63, Seq: 7, Target: "n1",
		TargetAddress: "127.0.0.2:7946", Sums: make([]uint64, buckets), Updates: []Update{
			{Name: "n1", Address: "127.0.0.2:7946", State: Suspect, Incarnation: 6, Run: 8, By: "n2"},
			{Name: "n3", Address: "127.0.0.3:7946", State: Left, Incarnation: 9, Run: 10},
		},
	}
	packet.Sums[0] = 1 << 62
	observed := ""
	for _, c := range []struct {
		title string
		codec Codec
	}{{"sealed", Codec{Cluster: "town", Key: []byte("0123456789abcdef")}}, {"not sealed", Codec{Cluster: "town"}}} {
		raw, err := c.codec.Encode(packet)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.codec.Decode(raw); err != nil {
			t.Error(err)
		}
		observed += golden.Section(c.title, golden.Quote(raw)+"\n")
	}
	if err := golden.Check("testdata/packets.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}
