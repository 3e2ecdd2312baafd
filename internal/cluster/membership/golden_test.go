package membership

import (
	"encoding/json"
	"testing"

	"ottershed/internal/golden"
)

// goldenUpdate returns an update with every field set.
func goldenUpdate(state State) Update {
	return Update{
		Name: "c", Address: "127.0.0.3:7003", State: state, Incarnation: 1764700000123, Run: 0xfedcba9876543210,
		Accuser: "a",
	}
}

// goldenPacket returns a packet with every field set, including those that its kind does not need.
func goldenPacket(kind PacketKind) *Packet {
	p := &Packet{
		Kind: kind, From: "a", Address: "127.0.0.1:7001", Incarnation: 1764700000001, Run: 0x123456789abcdef0, Seq: 99,
		Target: "b", TargetAddress: "127.0.0.2:7002", Updates: []Update{goldenUpdate(Suspect), goldenUpdate(Dead)},
	}
	for i := range uint64(bucketCount) {
		p.Checksums = append(p.Checksums, i<<40+1)
	}
	return p
}

// comparePacket encodes a packet and decodes its fixture, signed and unsigned, and compares both.
func comparePacket(t *testing.T, name string, packet *Packet) {
	t.Helper()
	for suffix, codec := range map[string]Codec{
		"":        {Cluster: "town"},
		"_signed": {Cluster: "town", Key: []byte("0123456789abcdef")},
	} {
		file := "packet_" + name + suffix + ".bin"
		raw, err := codec.Encode(packet)
		if err != nil {
			t.Fatalf("%s: encode packet: %v", file, err)
		}
		golden.AssertFixture(t, file, raw)
		back, err := codec.Decode(golden.Read(t, file))
		if err != nil {
			t.Fatalf("%s: decode packet: %v", file, err)
		}
		golden.AssertDecoded(t, file, back, packet)
	}
}

// Packets of every kind are encoded as in earlier releases: members of different releases must understand each other.
func TestPacketEncodingOfEveryKind(t *testing.T) {
	kinds := map[string]PacketKind{
		"ping": Ping, "ack": Ack, "ping_req": PingReq, "nack": Nack, "gossip": Gossip, "digest": Digest,
		"records": Records,
	}
	if len(kinds) != int(kindCount)-1 {
		t.Errorf("kinds of packets in this test: got %d, want %d", len(kinds), kindCount-1)
	}
	for name, kind := range kinds {
		p := goldenPacket(kind)
		golden.AssertFieldsSet(t, name, p)
		comparePacket(t, name, p)
	}
}

// Every state of a member is encoded as in earlier releases.
func TestPacketEncodingOfEveryState(t *testing.T) {
	p := goldenPacket(Gossip)
	p.Updates = nil
	for state := Alive; state <= Left; state++ {
		p.Updates = append(p.Updates, goldenUpdate(state))
	}
	comparePacket(t, "states", p)
}

// The JSON of a view is the response of the admin API, so it stays the same.
func TestViewEncoding(t *testing.T) {
	view := View{Self: "a", At: 1764700000123.5, Health: 3, SupersededBy: "127.0.0.9:7009", Rejected: 2, Members: []Member{{
		Name: "c", Address: "127.0.0.3:7003", State: Suspect, Incarnation: 1764700000123, Run: 0xfedcba9876543210,
		StateSince: 1764700000001.25, Accuser: "a",
	}}}
	golden.RoundTrip(t, "view.json", view, json.Marshal, json.Unmarshal)
}
