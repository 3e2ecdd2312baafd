package membership

// Name is a member's name: unique in the cluster and the same after a restart.
type Name string

// Incarnation orders the updates about one member. It begins with the Unix time of the member's start in milliseconds,
// so that a restart outranks everything before it. Only the member itself raises it, by one, to refute an accusation.
type Incarnation uint64

// RunID tells two processes of one name apart; it is drawn at each start.
type RunID uint64

// Update is what one member tells about another, or about itself.
type Update struct {
	Name        Name
	Address     string // ip:port at which the member receives
	State       State
	Incarnation Incarnation
	Run         RunID
	By          Name // the accuser; set only for Suspect and Dead
}

// supersedes reports whether u outranks an earlier update: by incarnation, then by state.
func (u *Update) supersedes(earlier *Update) bool {
	return u.Incarnation > earlier.Incarnation || u.Incarnation == earlier.Incarnation && u.State > earlier.State
}

// Kind is the type of a packet.
type Kind int

// The kinds of packets. The numbers go over the wire.
const (
	Ping    Kind = iota + 1 // probes Target
	Ack                     // the response to a Ping; a relay passes it on to the origin of a PingReq
	PingReq                 // asks the receiver to ping Target at TargetAddress
	Nack                    // from a relay: Target did not respond, the relay itself is running
	Gossip                  // carries updates only
	Digest                  // checksums of the sender's table; asks for the records that differ
	Records                 // the response to a Digest or to Records with checksums
	kindCount
)

// Packet is one message between members. Each packet carries its sender's incarnation, which is an update by itself,
// and as many queued updates as fit.
type Packet struct {
	Kind          Kind
	From          Name
	Address       string // ip:port at which the sender receives; responses go there
	Incarnation   Incarnation
	Run           RunID
	Seq           uint64   // of a Ping; its Ack and Nack repeat it
	Target        Name     // of a Ping and its responses: who is probed; of a PingReq: who is to be probed
	TargetAddress string   // of a PingReq: ip:port
	Sums          []uint64 // of a Digest, and of Records that ask for records in return: a checksum for each bucket
	Updates       []Update
}

// Send is a packet that is to go to an address.
type Send struct {
	To     string // ip:port
	Packet Packet
}

// Change is a member's new state, or a new run of it.
type Change struct {
	At       Millis // Unix
	Previous State  // Dead for a member that was not known
	New      bool   // not known before
	Member
}

// Output is what the caller is to carry out. It is valid until the next call of the detector.
type Output struct {
	Sends   []Send
	Changes []Change
}
