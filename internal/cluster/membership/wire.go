package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	protocolVersion = 1
	maxWireBytes    = 2048 // bytes of a datagram that is decoded
	signatureBytes  = 16   // bytes of the truncated HMAC-SHA-256
	maxClusterBytes = 32   // bytes of the name of a cluster
)

// wirePacket is the encoding of a packet: an array, so that field names are not sent.
type wirePacket struct {
	_msgpack      struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	Version       int
	Cluster       string
	Kind          Kind
	From          Name
	Address       string
	Incarnation   Incarnation
	Run           RunID
	Seq           uint64
	Target        Name
	TargetAddress string
	Sums          []uint64
	Updates       []wireUpdate
}

type wireUpdate struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads its tag
	Name        Name
	Address     string
	State       State
	Incarnation Incarnation
	Run         RunID
	By          Name
}

// Codec encodes, signs, verifies and decodes the packets of one cluster.
type Codec struct {
	Cluster string // 0 to 32 bytes; packets of other clusters are rejected
	Key     []byte // 16 bytes or more; nil: packets are not signed, and anyone who reaches the port can send them
}

// Encode encodes and signs a packet.
func (c Codec) Encode(p *Packet) ([]byte, error) {
	w := wirePacket{
		Version: protocolVersion, Cluster: c.Cluster, Kind: p.Kind, From: p.From, Address: p.Address,
		Incarnation: p.Incarnation, Run: p.Run, Seq: p.Seq, Target: p.Target, TargetAddress: p.TargetAddress, Sums: p.Sums,
	}
	for _, u := range p.Updates {
		w.Updates = append(w.Updates, wireUpdate{
			Name: u.Name, Address: u.Address, State: u.State, Incarnation: u.Incarnation,
			Run: u.Run, By: u.By,
		})
	}
	raw, err := msgpack.Marshal(&w)
	if err != nil {
		return nil, fmt.Errorf("encode packet: %w", err)
	}
	return append(raw, c.sign(raw)...), nil
}

func (c Codec) sign(raw []byte) []byte {
	if len(c.Key) == 0 {
		return nil
	}
	h := hmac.New(sha256.New, c.Key)
	h.Write(raw)
	return h.Sum(nil)[:signatureBytes]
}

// The reasons why Decode rejects a packet.
var (
	ErrSignature = errors.New("packet: not sealed with the cluster's key")
	ErrCluster   = errors.New("packet: of another cluster")
	ErrMalformed = errors.New("packet: not of this form")
)

// Decode verifies, decodes and checks a packet. Anyone who reaches the port can send anything: no field is trusted, and
// the memory that a packet takes is bounded by its length.
func (c Codec) Decode(raw []byte) (*Packet, error) {
	if len(raw) > maxWireBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, len(raw))
	}
	if len(c.Key) > 0 {
		cut := len(raw) - signatureBytes
		if cut < 0 || !hmac.Equal(c.sign(raw[:cut]), raw[cut:]) {
			return nil, ErrSignature
		}
		raw = raw[:cut]
	}
	var w wirePacket
	if err := msgpack.Unmarshal(raw, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if w.Version != protocolVersion {
		return nil, fmt.Errorf("%w: version %d", ErrMalformed, w.Version)
	}
	if w.Cluster != c.Cluster {
		return nil, ErrCluster
	}
	p := &Packet{
		Kind: w.Kind, From: w.From, Address: w.Address, Incarnation: w.Incarnation, Run: w.Run, Seq: w.Seq,
		Target: w.Target, TargetAddress: w.TargetAddress, Sums: w.Sums,
	}
	for _, u := range w.Updates {
		p.Updates = append(p.Updates, Update{
			Name: u.Name, Address: u.Address, State: u.State, Incarnation: u.Incarnation,
			Run: u.Run, By: u.By,
		})
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return p, nil
}

// maxIncarnation bounds incarnations: the highest value of the type could never be refuted.
const maxIncarnation = Incarnation(1) << 62

// Check reports the first fault of a received packet.
func (p *Packet) Check() error {
	if p.Kind < Ping || p.Kind >= kindCount {
		return fmt.Errorf("kind %d", p.Kind)
	}
	sender := Update{Name: p.From, Address: p.Address, State: Alive, Incarnation: p.Incarnation}
	if err := sender.check(); err != nil {
		return fmt.Errorf("sender: %w", err)
	}
	if n := len(p.Sums); n != 0 && n != buckets {
		return fmt.Errorf("%d sums", n)
	}
	if p.Kind <= Nack {
		if err := p.Target.Check(); err != nil {
			return fmt.Errorf("target: %w", err)
		}
	}
	if p.Kind == PingReq {
		if err := checkAddress(p.TargetAddress); err != nil {
			return fmt.Errorf("target: %w", err)
		}
	}
	for i := range p.Updates {
		if err := p.Updates[i].check(); err != nil {
			return fmt.Errorf("update %d: %w", i, err)
		}
	}
	return nil
}

func (u *Update) check() error {
	if err := u.Name.Check(); err != nil {
		return err
	}
	if err := checkAddress(u.Address); err != nil {
		return err
	}
	if u.State < Alive || u.State > Left {
		return fmt.Errorf("%v", u.State)
	}
	if u.Incarnation == 0 || u.Incarnation >= maxIncarnation {
		return fmt.Errorf("incarnation %d", u.Incarnation)
	}
	if (u.State == Suspect || u.State == Dead) && u.By != "" {
		return u.By.Check()
	}
	if u.State == Suspect {
		return errors.New("nobody accuses")
	}
	return nil
}

// The most bytes that parts of an encoded packet take, beside their texts.
const (
	fixedBytes  = 9*4 + 24 // a packet: four numbers of nine bytes, headers and short fields
	updateBytes = 9*2 + 8  // an update
	sumBytes    = 9        // a checksum
)

func (u *Update) size() int { return updateBytes + len(u.Name) + len(u.Address) + len(u.By) }

func (p *Packet) size() int {
	n := fixedBytes + maxClusterBytes + signatureBytes + len(p.From) + len(p.Address) + len(p.Target) +
		len(p.TargetAddress) + sumBytes*len(p.Sums)
	for i := range p.Updates {
		n += p.Updates[i].size()
	}
	return n
}

// Check reports the first fault of a codec's settings, by the key of the operator's file.
func (c Codec) Check() error {
	if len(c.Cluster) > maxClusterBytes {
		return fmt.Errorf("membership.cluster: want %d bytes at most, got %d", maxClusterBytes, len(c.Cluster))
	}
	if len(c.Key) > 0 && len(c.Key) < signatureBytes {
		return fmt.Errorf("membership.key-file: want a key of %d bytes or more, got %d", signatureBytes, len(c.Key))
	}
	return nil
}
