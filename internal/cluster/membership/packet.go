package membership

// Name is a member's name, unique in the cluster and unchanged by restarts: 1 to 64 bytes, see Check.
type Name string

// Incarnation orders the updates about one member. It begins with the Unix time of the member's start in milliseconds,
// so that updates after a restart supersede all earlier ones. Only the member itself increments it, to refute an
// accusation or to announce its shutdown.
type Incarnation uint64

// RunID distinguishes the processes of one member name. It is drawn at random at each start.
type RunID uint64

// Update is a statement about the state of one member, made by another member or by the member itself.
type Update struct {
	Name        Name
	Address     string // ip:port at which the member receives
	State       State
	Incarnation Incarnation
	Run         RunID
	Accuser     Name // the member that reported the failure; set only for Suspect and Dead
}

// supersedes reports whether u takes precedence over an earlier update: by incarnation, then by state.
func (u *Update) supersedes(earlier *Update) bool {
	return u.Incarnation > earlier.Incarnation || u.Incarnation == earlier.Incarnation && u.State > earlier.State
}

// PacketKind is the type of a packet.
type PacketKind int

// The kinds of packets. The numbers are part of the wire format.
const (
	Ping      PacketKind = iota + 1 // probes Target
	Ack                             // the response to a Ping; a relay forwards it to the origin of a PingReq
	PingReq                         // asks the receiver to ping Target at TargetAddress
	Nack                            // from a relay: Target did not respond, the relay itself is running
	Gossip                          // carries updates only
	Digest                          // checksums of the sender's table; asks for the records that differ
	Records                         // the response to a Digest, or to Records with checksums
	kindCount                       // one more than the highest kind
)

// Packet is one message between members. Each packet carries its sender's incarnation, which implies that the sender is
// alive, and as many queued updates as fit.
type Packet struct {
	Kind          PacketKind
	From          Name
	Address       string // ip:port at which the sender receives responses
	Incarnation   Incarnation
	Run           RunID
	Seq           uint64   // sequence number of a Ping or PingReq; Ack and Nack repeat it
	Target        Name     // Ping, PingReq, Ack and Nack: the member that is probed
	TargetAddress string   // PingReq: ip:port of the target
	Checksums     []uint64 // Digest, and Records that ask for records in return: of the sender's member table, by bucketFor
	Updates       []Update
}

// Send is a packet that the caller must send.
type Send struct {
	To     string // ip:port of the receiver
	Packet Packet
}

// Change reports a member's new state, or a new process of the member.
type Change struct {
	At        Millis // Unix time of the change
	Previous  State  // state before the change; Dead for a member that was not known
	NewMember bool   // the member was not known before
	Member           // the member after the change
}

// Output lists the packets to send and the changes to report. It is valid until the next call of the detector.
type Output struct {
	Sends   []Send
	Changes []Change
}
