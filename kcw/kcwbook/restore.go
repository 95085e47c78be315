package kcwbook

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"kingcupwick.example/kcw/kcwpb"
)

// maxRecordBytes bounds one record of a snapshot. A contract with maxSpecBytes and
// maxKeys fits in it.
const maxRecordBytes = 4 << 20

// Restore replaces the state by the snapshot that it reads from r. If the stream is
// not exactly one valid snapshot, it returns an *Error of KindDamaged and leaves
// the book unchanged.
func (b *Book) Restore(r io.Reader) error {
	next, err := readState(r)
	if err != nil {
		return &Error{Op: "Restore", Kind: KindDamaged, Err: err}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = next
	return nil
}

// readState reads the state of a snapshot.
func readState(r io.Reader) (*state, error) {
	in := &recordReader{r: bufio.NewReaderSize(r, imageBufferBytes)}
	s := newState()
	for {
		checksum, records := in.checksum, in.records
		record, err := in.read()
		if err != nil {
			return nil, err
		}
		footer := record.GetFooter()
		if footer == nil {
			if err := s.restoreRecord(record, records == 0); err != nil {
				return nil, eris.Wrapf(err, "record %d", records)
			}
			continue
		}
		if footer.GetRecords() != records || footer.GetChecksum() != checksum {
			return nil, eris.New("the footer does not match the records")
		}
		return s, s.finishRestore(in)
	}
}

// recordReader reads length-delimited records.
type recordReader struct {
	r        *bufio.Reader
	records  uint64
	checksum uint32
	scratch  []byte
}

// read returns the next record.
func (in *recordReader) read() (*kcwpb.SnapshotRecord, error) {
	size, err := binary.ReadUvarint(in.r)
	if err != nil {
		return nil, eris.Wrap(err, "read a record's length")
	}
	if size > maxRecordBytes {
		return nil, eris.Errorf("a record of %d bytes is too large", size)
	}
	in.scratch = slices.Grow(in.scratch[:0], int(size))[:size]
	if _, err := io.ReadFull(in.r, in.scratch); err != nil {
		return nil, eris.Wrap(err, "read a record")
	}
	record := new(kcwpb.SnapshotRecord)
	if err := proto.Unmarshal(in.scratch, record); err != nil {
		return nil, eris.Wrap(err, "decode a record")
	}
	if record.GetFooter() != nil && len(record.GetFooter().ProtoReflect().GetUnknown()) > 0 {
		return nil, eris.New("the footer has unknown fields")
	}
	in.records++
	in.checksum = crc32.Update(in.checksum, castagnoli, binary.AppendUvarint(nil, size))
	in.checksum = crc32.Update(in.checksum, castagnoli, in.scratch)
	return record, nil
}

// restoreRecord adds one record to s. The contract of an account must come before
// its other records.
func (s *state) restoreRecord(record *kcwpb.SnapshotRecord, isFirst bool) error {
	header := record.GetHeader()
	if isFirst != (header != nil) {
		return eris.New("the header is missing, not the first record, or repeated")
	}
	switch r := record.GetRecord().(type) {
	case *kcwpb.SnapshotRecord_Header:
		s.revision = header.GetRevision()
		s.now = header.GetAt()
		return nil
	case *kcwpb.SnapshotRecord_Router:
		return s.restoreRouter(r.Router)
	case *kcwpb.SnapshotRecord_Contract:
		return s.restoreContract(r.Contract)
	case *kcwpb.SnapshotRecord_Budget:
		return s.restoreBudget(r.Budget)
	case *kcwpb.SnapshotRecord_Grant:
		return s.restoreGrant(r.Grant)
	case *kcwpb.SnapshotRecord_Change:
		return s.restoreChange(r.Change)
	case *kcwpb.SnapshotRecord_Claim:
		return s.restoreClaim(r.Claim)
	}
	return eris.New("the record has an unknown type")
}

func (s *state) restoreRouter(m *kcwpb.Router) error {
	if !isName(m.GetName()) || s.routers[m.GetName()] != nil {
		return eris.Errorf("router name %q is invalid or duplicated", m.GetName())
	}
	s.routers[m.GetName()] = &router{
		name:        m.GetName(),
		zone:        m.GetZone(),
		incarnation: m.GetIncarnation(),
		retired:     m.GetRetired(),
		address:     m.GetAddress(),
		minSerial:   m.GetOver(),
		customers:   make(map[string]bool),
	}
	return nil
}

func (s *state) restoreContract(m *kcwpb.Contract) error {
	if !isName(m.GetCustomer()) || s.accounts[m.GetCustomer()] != nil {
		return eris.Errorf("customer %q is not a name or stands twice", m.GetCustomer())
	}
	if problem := s.checkKeys(m); problem != "" {
		return eris.New(problem)
	}
	if m.GetRevision() == 0 || m.GetRevision() > s.revision {
		return eris.Errorf("customer %s has revision %d", m.GetCustomer(), m.GetRevision())
	}
	a := s.add(m.GetCustomer())
	a.contract = m
	s.replaceKeys(nil, m)
	s.history = append(s.history, revisionEntry{revision: m.GetRevision(), customer: m.GetCustomer()})
	return nil
}

func (s *state) restoreBudget(m *kcwpb.Budget) error {
	a := s.accounts[m.GetCustomer()]
	if a == nil {
		return eris.Errorf("budget of unknown customer %q", m.GetCustomer())
	}
	a.budget = budget{
		prepaid:  m.GetPrepaid(),
		billed:   m.GetBilled(),
		reserved: m.GetReserved(),
		granted:  m.GetGranted(),
		withheld: m.GetWithheld(),
	}
	a.requestsDue = m.GetRequestsDue()
	a.tokensDue = m.GetTokensDue()
	return nil
}

func (s *state) restoreGrant(m *kcwpb.Grant) error {
	a := s.accounts[m.GetCustomer()]
	if a == nil || s.routers[m.GetRouter()] == nil {
		return eris.Errorf("grant of unknown customer %q or router %q", m.GetCustomer(), m.GetRouter())
	}
	if _, found := a.findGrant(m.GetRouter(), m.GetIncarnation()); found {
		return eris.Errorf("grant of %s/%d stands twice", m.GetRouter(), m.GetIncarnation())
	}
	a.putGrant(grantOf(m))
	s.trackCustomer(m.GetRouter(), m.GetCustomer())
	return nil
}

func (s *state) restoreChange(m *kcwpb.Change) error {
	if m.GetCustomer() == "" {
		s.routerChanges = append(s.routerChanges, m)
		return nil
	}
	a := s.accounts[m.GetCustomer()]
	if a == nil {
		return eris.Errorf("change of unknown customer %q", m.GetCustomer())
	}
	a.changes = append(a.changes, m)
	return nil
}

func (s *state) restoreClaim(m *kcwpb.Claim) error {
	a := s.accounts[m.GetCustomer()]
	if a == nil || s.routers[m.GetRouter()] == nil {
		return eris.Errorf("claim of unknown customer %q or router %q", m.GetCustomer(), m.GetRouter())
	}
	if !isAmount(m.GetTokens()) || !isIdentity(m.GetRequest()) {
		return eris.Errorf("claim %q of customer %s has an invalid identity or amount", m.GetRequest(), m.GetCustomer())
	}
	isClosed := s.repeatableClaims.find(a.slot, m.GetRequest()) != 0 || s.nonRepeatableClaims.find(a.slot, m.GetRequest()) != 0
	if a.open[m.GetRequest()] != nil || isClosed {
		return eris.Errorf("claim %q of customer %s is duplicated", m.GetRequest(), m.GetCustomer())
	}
	c := claimOf(m)
	c.customer = a.customer
	c.router = s.routers[m.GetRouter()].name
	s.storeClaim(a, c)
	if c.state == kcwpb.ClaimState_CLAIM_STATE_OPEN {
		a.running++
		s.trackCustomer(c.router, a.customer)
	}
	return nil
}

// finishRestore checks that the stream ends after the footer, sorts the history and
// checks the state.
func (s *state) finishRestore(in *recordReader) error {
	if _, err := in.r.ReadByte(); err != io.EOF {
		return eris.New("bytes follow the footer")
	}
	slices.SortFunc(s.history, func(x, y revisionEntry) int {
		if x.revision < y.revision {
			return -1
		}
		return int(min(1, x.revision-y.revision))
	})
	return s.check()
}
