package membership

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	version     = 1
	longestWire = 2048 // bytes; what is longer is nothing of ours
	sealBytes   = 16
)

// wirePacket is a packet on the wire: a list, so that no names of fields go over it.
type wirePacket struct {
	_msgpack struct{} `msgpack:",as_array"`
	Version  int
	Cluster  string
	Kind     Kind
	From     Name
	Address  string
	Inc      Incarnation
	Run      RunID
	Seq      uint64
	Target   Name
	TargetAt string
	Sums     []uint64
	Updates  []wireUpdate
}

type wireUpdate struct {
	_msgpack struct{} `msgpack:",as_array"`
	Name     Name
	Address  string
	State    State
	Inc      Incarnation
	Run      RunID
	By       Name
}

// Codec turns packets into bytes and back. Only packets of one cluster, and sealed with its key if it has one, pass.
type Codec struct {
	Cluster string
	Key     []byte // none: anybody who reaches the port can speak
}

// Encode writes a packet.
func (c Codec) Encode(p *Packet) ([]byte, error) {
	w := wirePacket{Version: version, Cluster: c.Cluster, Kind: p.Kind, From: p.From, Address: p.Address,
		Inc: p.Incarnation, Run: p.Run, Seq: p.Seq, Target: p.Target, TargetAt: p.TargetAt, Sums: p.Sums}
	for _, u := range p.Updates {
		w.Updates = append(w.Updates, wireUpdate{Name: u.Name, Address: u.Address, State: u.State, Inc: u.Incarnation,
			Run: u.Run, By: u.By})
	}
	raw, err := msgpack.Marshal(&w)
	if err != nil {
		return nil, fmt.Errorf("encode packet: %w", err)
	}
	return append(raw, c.seal(raw)...), nil
}

func (c Codec) seal(raw []byte) []byte {
	if len(c.Key) == 0 {
		return nil
	}
	h := hmac.New(sha256.New, c.Key)
	h.Write(raw)
	return h.Sum(nil)[:sealBytes]
}

// What is wrong with a packet that is not taken.
var (
	ErrSeal    = errors.New("packet: not sealed with the cluster's key")
	ErrCluster = errors.New("packet: of another cluster")
	ErrForm    = errors.New("packet: not of this form")
)

// Decode reads a packet and checks it. Whoever reaches the port can send anything: nothing is taken on trust, and what is
// kept of a packet is bounded by its length.
func (c Codec) Decode(raw []byte) (*Packet, error) {
	if len(raw) > longestWire {
		return nil, fmt.Errorf("%w: %d bytes", ErrForm, len(raw))
	}
	if len(c.Key) > 0 {
		cut := len(raw) - sealBytes
		if cut < 0 || !hmac.Equal(c.seal(raw[:cut]), raw[cut:]) {
			return nil, ErrSeal
		}
		raw = raw[:cut]
	}
	var w wirePacket
	if err := msgpack.Unmarshal(raw, &w); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	if w.Version != version {
		return nil, fmt.Errorf("%w: version %d", ErrForm, w.Version)
	}
	if w.Cluster != c.Cluster {
		return nil, ErrCluster
	}
	p := &Packet{Kind: w.Kind, From: w.From, Address: w.Address, Incarnation: w.Inc, Run: w.Run, Seq: w.Seq,
		Target: w.Target, TargetAt: w.TargetAt, Sums: w.Sums}
	for _, u := range w.Updates {
		p.Updates = append(p.Updates, Update{Name: u.Name, Address: u.Address, State: u.State, Incarnation: u.Inc,
			Run: u.Run, By: u.By})
	}
	if err := p.Check(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	return p, nil
}

// highest bounds incarnations. Danger: one at the top of its type could never be denied, for there is none above.
const highest = Incarnation(1) << 62

// Check tells what is wrong with a packet from elsewhere.
func (p *Packet) Check() error {
	if p.Kind < Ping || p.Kind >= kindEnd {
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
		if err := checkAddress(p.TargetAt); err != nil {
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
	if u.Incarnation == 0 || u.Incarnation >= highest {
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
	numbers     = 9 * 4 // of a packet: a sign and eight bytes each
	updateBytes = 9*2 + 8
	sumBytes    = 9
)

func (u *Update) size() int { return updateBytes + len(u.Name) + len(u.Address) + len(u.By) }

func (p *Packet) size() int {
	n := numbers + longestCluster + sealBytes + len(p.From) + len(p.Address) + len(p.Target) + len(p.TargetAt) +
		sumBytes*len(p.Sums) + 24
	for i := range p.Updates {
		n += p.Updates[i].size()
	}
	return n
}

const longestCluster = 32

// Check tells what is wrong with a codec's settings, naming the key of the operator's file.
func (c Codec) Check() error {
	if len(c.Cluster) > longestCluster {
		return fmt.Errorf("membership.cluster: want %d bytes at most, got %d", longestCluster, len(c.Cluster))
	}
	if len(c.Key) > 0 && len(c.Key) < sealBytes {
		return fmt.Errorf("membership.key-file: want a key of %d bytes or more, got %d", sealBytes, len(c.Key))
	}
	return nil
}
