package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	protocolVersion = 1    // version of the wire format; packets of other versions are rejected
	maxWireBytes    = 2048 // maximum size of a datagram; longer ones are rejected
	signatureBytes  = 16   // length of the truncated HMAC-SHA-256, and the minimum length of a key
	maxClusterBytes = 32   // maximum length of a cluster's name
)

// wirePacket is the encoded form of a packet: a msgpack array, so that field names are not sent. The order of the
// fields is part of the wire format.
type wirePacket struct {
	_msgpack      struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	Version       int
	Cluster       string
	Kind          PacketKind
	From          Name
	Address       string
	Incarnation   Incarnation
	Run           RunID
	Seq           uint64
	Target        Name
	TargetAddress string
	Checksums     []uint64
	Updates       []wireUpdate
}

// wireUpdate is the encoded form of an update: a msgpack array, as in wirePacket.
type wireUpdate struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	Name        Name
	Address     string
	State       State
	Incarnation Incarnation
	Run         RunID
	Accuser     Name
}

// Codec encodes, signs, verifies and decodes the packets of one cluster.
type Codec struct {
	Cluster string // name of the cluster, 0 to 32 bytes; packets of other clusters are rejected
	Key     []byte // 16 bytes or more; nil: packets are not signed, so anyone who reaches the port can send valid packets
}

// Encode encodes and signs a packet.
func (c Codec) Encode(p *Packet) ([]byte, error) {
	w := wirePacket{
		Version: protocolVersion, Cluster: c.Cluster, Kind: p.Kind, From: p.From, Address: p.Address,
		Incarnation: p.Incarnation, Run: p.Run, Seq: p.Seq, Target: p.Target, TargetAddress: p.TargetAddress,
		Checksums: p.Checksums,
	}
	for _, u := range p.Updates {
		w.Updates = append(w.Updates, wireUpdate{
			Name: u.Name, Address: u.Address, State: u.State, Incarnation: u.Incarnation,
			Run: u.Run, Accuser: u.Accuser,
		})
	}
	raw, err := msgpack.Marshal(&w)
	if err != nil {
		return nil, fmt.Errorf("encode packet: %w", err)
	}
	return append(raw, c.sign(raw)...), nil
}

// sign returns the signature of an encoded packet; nil without a key.
func (c Codec) sign(raw []byte) []byte {
	if len(c.Key) == 0 {
		return nil
	}
	h := hmac.New(sha256.New, c.Key)
	h.Write(raw)
	return h.Sum(nil)[:signatureBytes]
}

// The reasons for which Decode rejects a packet.
var (
	ErrSignature = errors.New("packet: signature does not match the cluster's key")
	ErrCluster   = errors.New("packet: from another cluster")
	ErrMalformed = errors.New("packet: malformed")
)

// Decode verifies, decodes and validates a packet. It returns an error that wraps ErrSignature, ErrCluster or
// ErrMalformed. Anyone who reaches the port can send arbitrary bytes, so no field is trusted, and the length of a
// packet bounds the memory that it takes.
func (c Codec) Decode(raw []byte) (*Packet, error) {
	if len(raw) > maxWireBytes {
		return nil, fmt.Errorf("%w: want %d bytes at most, got %d", ErrMalformed, maxWireBytes, len(raw))
	}
	if len(c.Key) > 0 {
		end := len(raw) - signatureBytes
		if end < 0 || !hmac.Equal(c.sign(raw[:end]), raw[end:]) {
			return nil, ErrSignature
		}
		raw = raw[:end]
	}
	var w wirePacket
	if err := msgpack.Unmarshal(raw, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if w.Version != protocolVersion {
		return nil, fmt.Errorf("%w: want protocol version %d, got %d", ErrMalformed, protocolVersion, w.Version)
	}
	if w.Cluster != c.Cluster {
		return nil, ErrCluster
	}
	p := &Packet{
		Kind: w.Kind, From: w.From, Address: w.Address, Incarnation: w.Incarnation, Run: w.Run, Seq: w.Seq,
		Target: w.Target, TargetAddress: w.TargetAddress, Checksums: w.Checksums,
	}
	for _, u := range w.Updates {
		p.Updates = append(p.Updates, Update{
			Name: u.Name, Address: u.Address, State: u.State, Incarnation: u.Incarnation,
			Run: u.Run, Accuser: u.Accuser,
		})
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return p, nil
}

// maxIncarnation is the exclusive upper bound of incarnations. An accusation at the highest value of the type could not
// be refuted, because a refutation needs a higher incarnation.
const maxIncarnation = Incarnation(1) << 62

// Check validates a received packet and returns an error about the first invalid field.
func (p *Packet) Check() error {
	if p.Kind < Ping || p.Kind >= kindCount {
		return fmt.Errorf("unknown kind %d", p.Kind)
	}
	sender := Update{Name: p.From, Address: p.Address, State: Alive, Incarnation: p.Incarnation}
	if err := sender.check(); err != nil {
		return fmt.Errorf("check sender: %w", err)
	}
	if n := len(p.Checksums); n != 0 && n != bucketCount {
		return fmt.Errorf("want 0 or %d checksums, got %d", bucketCount, n)
	}
	if p.Kind <= Nack {
		if err := p.Target.Check(); err != nil {
			return fmt.Errorf("check target: %w", err)
		}
	}
	if p.Kind == PingReq {
		if err := checkAddress(p.TargetAddress); err != nil {
			return fmt.Errorf("check target address: %w", err)
		}
	}
	for i := range p.Updates {
		if err := p.Updates[i].check(); err != nil {
			return fmt.Errorf("check update %d: %w", i, err)
		}
	}
	return nil
}

// check validates an update of a received packet, or the sender's own state.
func (u *Update) check() error {
	if err := u.Name.Check(); err != nil {
		return err
	}
	if err := checkAddress(u.Address); err != nil {
		return err
	}
	if u.State < Alive || u.State > Left {
		return fmt.Errorf("unknown state %d", u.State)
	}
	if u.Incarnation == 0 || u.Incarnation >= maxIncarnation {
		return fmt.Errorf("want an incarnation of 1 to %d, got %d", maxIncarnation-1, u.Incarnation)
	}
	if (u.State == Suspect || u.State == Dead) && u.Accuser != "" {
		return u.Accuser.Check()
	}
	if u.State == Suspect {
		return errors.New("suspect without an accuser")
	}
	return nil
}

// Upper estimates of the sizes of encoded parts of a packet, in bytes, without their strings. The name of an update's
// state is not counted, so a packet of many updates can be encoded to more bytes than estimated.
const (
	fixedBytes    = 9*4 + 24 // a packet: four numbers of nine bytes, headers and short fields
	updateBytes   = 9*2 + 8  // an update: two numbers of nine bytes, headers
	checksumBytes = 9        // a checksum
)

// size returns the estimated size of an encoded update, in bytes.
func (u *Update) size() int { return updateBytes + len(u.Name) + len(u.Address) + len(u.Accuser) }

// size returns the estimated size of an encoded and signed packet, in bytes.
func (p *Packet) size() int {
	n := fixedBytes + maxClusterBytes + signatureBytes + len(p.From) + len(p.Address) + len(p.Target) +
		len(p.TargetAddress) + checksumBytes*len(p.Checksums)
	for i := range p.Updates {
		n += p.Updates[i].size()
	}
	return n
}

// Check validates the settings of a codec and returns an error about the first invalid one, which names its key in the
// operator's file.
func (c Codec) Check() error {
	if len(c.Cluster) > maxClusterBytes {
		return fmt.Errorf("membership.cluster: want %d bytes at most, got %d", maxClusterBytes, len(c.Cluster))
	}
	if len(c.Key) > 0 && len(c.Key) < signatureBytes {
		return fmt.Errorf("membership.key-file: want a key of %d bytes or more, got %d", signatureBytes, len(c.Key))
	}
	return nil
}
