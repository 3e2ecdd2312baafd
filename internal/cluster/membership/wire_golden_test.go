package membership

import (
	"testing"

	"ottershed/internal/golden"
)

// A packet with every field set, signed and unsigned, is encoded as in the golden file: members of different versions
// must understand each other.
func TestPacketEncodingMatchesGoldenFile(t *testing.T) {
	packet := &Packet{
		Kind: PingReq, From: "n0", Address: "127.0.0.1:7946", Incarnation: 5, Run: 1 << 63, Seq: 7, Target: "n1",
		TargetAddress: "127.0.0.2:7946", Checksums: make([]uint64, bucketCount), Updates: []Update{
			{Name: "n1", Address: "127.0.0.2:7946", State: Suspect, Incarnation: 6, Run: 8, Accuser: "n2"},
			{Name: "n3", Address: "127.0.0.3:7946", State: Left, Incarnation: 9, Run: 10},
		},
	}
	packet.Checksums[0] = 1 << 62
	observed := ""
	for _, c := range []struct {
		title string
		codec Codec
	}{{"signed", Codec{Cluster: "town", Key: []byte("0123456789abcdef")}}, {"not signed", Codec{Cluster: "town"}}} {
		raw, err := c.codec.Encode(packet)
		if err != nil {
			t.Fatalf("encode packet, %s: %v", c.title, err)
		}
		if _, err := c.codec.Decode(raw); err != nil {
			t.Errorf("decode packet, %s: %v", c.title, err)
		}
		observed += golden.Section(c.title, golden.Quote(raw)+"\n")
	}
	if err := golden.CheckFile("testdata/packets.golden", []byte(observed)); err != nil {
		t.Errorf("encoding of packets: %v", err)
	}
}
