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
	maxWireBytes    = 2048 // bytes; what is longer is nothing of ours
	signatureBytes  = 16
)

// wirePacket is a packet on the wire: a list, so that no names of fields go over it.
type wirePacket struct {
	_msgpack      struct{} `msgpack:",as_array"`
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
	_msgpack    struct{} `msgpack:",as_array"`
	Name        Name
	Address     string
	State       State
	Incarnation Incarnation
	Run         RunID
	By          Name
}

// Codec turns packets into bytes and back. Only packets of one cluster, and sealed with its key if it has one, pass.
type Codec struct {
	Cluster string
	Key     []byte // none: anybody who reaches the port can speak
}

// Encode writes a packet.
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

// What is wrong with a packet that is not taken.
var (
	ErrSignature = errors.New("packet: not sealed with the cluster's key")
	ErrCluster   = errors.New("packet: of another cluster")
	ErrMalformed = errors.New("packet: not of this form")
)

// Decode reads a packet and checks it. Whoever reaches the port can send anything: nothing is taken on trust, and what is
// kept of a packet is bounded by its length.
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

// highest bounds incarnations. Danger: one at the top of its type could never be denied, for there is none above.
const maxIncarnation = Incarnation(1) << 62

// Check tells what is wrong with a packet from elsewhere.
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

// Bytes that parts of a packet take on the wire at most, beside their texts.
const (
	fixedBytes  = 9 * 4 // of a packet: a sign and eight bytes each
	updateBytes = 9*2 + 8
	sumBytes    = 9
)

func (u *Update) size() int { return updateBytes + len(u.Name) + len(u.Address) + len(u.By) }

func (p *Packet) size() int {
	n := fixedBytes + maxClusterBytes + signatureBytes + len(p.From) + len(p.Address) + len(p.Target) + len(p.TargetAddress) +
		sumBytes*len(p.Sums) + 24
	for i := range p.Updates {
		n += p.Updates[i].size()
	}
	return n
}

const maxClusterBytes = 32

// Check tells what is wrong with a codec's settings, naming the key of the operator's file.
func (c Codec) Check() error {
	if len(c.Cluster) > maxClusterBytes {
		return fmt.Errorf("membership.cluster: want %d bytes at most, got %d", maxClusterBytes, len(c.Cluster))
	}
	if len(c.Key) > 0 && len(c.Key) < signatureBytes {
		return fmt.Errorf("membership.key-file: want a key of %d bytes or more, got %d", signatureBytes, len(c.Key))
	}
	return nil
}
