package kcwcontrol

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kingcupwick.example/kcw-fleet/kcwcore"
	"kingcupwick.example/kcw-fleet/kcwsetup"
	"kingcupwick.example/kcw/kcwallowance"
	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwgroup"
	"kingcupwick.example/kcw/kcwpb"
	"kingcupwick.example/kcw/kcwroute"
	"kingcupwick.example/kcw/kcwserve"
)

// fullMember is a member whose disk can be full, as operators see it.
type fullMember struct {
	*operator
	isFull atomic.Bool
}

func (m *fullMember) write(file *os.File, data []byte) (int, error) {
	if m.isFull.Load() {
		return 0, &os.PathError{Op: "write", Path: file.Name(), Err: unix.ENOSPC}
	}
	return file.Write(data)
}

// put puts a document of the given version and returns the status and the host of Location.
func (m *fullMember) put(version int) (status int, location string) {
	w := httptest.NewRecorder()
	m.ServeHTTP(w, httptest.NewRequest(http.MethodPut, ConfigurationPath, strings.NewReader(strconv.Itoa(version))))
	return w.Code, strings.TrimSuffix(strings.TrimPrefix(w.Header().Get("Location"), "http://"), ConfigurationPath)
}

// TestChangesAtFullMembersAreAnswered guards against changes that stay refused or unanswered
// at members whose disks are or were full, one after the other.
func TestChangesAtFullMembersAreAnswered(t *testing.T) {
	const election = 200 * time.Millisecond
	members := map[string]*fullMember{}
	var founders []*kcwpb.Member
	for _, address := range []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"} {
		members[address] = &fullMember{}
		founders = append(founders, &kcwpb.Member{Name: address, Address: address})
	}
	var isStarted atomic.Bool
	send := func(to *kcwpb.Member, msgs []*kcwpb.Message) {
		if isStarted.Load() {
			members[to.GetAddress()].group.Step(msgs)
		}
	}
	for address, m := range members {
		folder, err := kcwfolder.Open(kcwfolder.Config{Path: t.TempDir(), Write: m.write})
		if err != nil {
			t.Fatal(err)
		}
		table := kcwallowance.New()
		group, err := kcwgroup.New(kcwgroup.Config{
			Folder: folder, Group: groupName, Name: address, Address: netip.MustParseAddrPort(address), Bootstrap: true,
			Founders: founders, Machine: table, Send: send, Heartbeat: election / 8, Election: election, Write: m.write,
		})
		if err != nil {
			t.Fatal(err)
		}
		m.operator = &operator{
			service: &service{group: group, table: table, client: kcwcore.New(kcwcore.Config{})},
			settings: &kcwsetup.Control{
				Host:  kcwsetup.ControlHost{Address: netip.MustParseAddrPort("10.0.0.9:7000")},
				Group: kcwsetup.Group{MaxDocumentBytes: 100, PutTimeout: 10 * time.Second, Election: election},
			},
			parsing: newParseLimit(kcwserve.Host{}),
			decode: func(body []byte) (*kcwroute.Document, error) {
				version, err := strconv.ParseUint(string(body), 10, 64)
				return &kcwroute.Document{Version: version}, err
			},
		}
		t.Cleanup(func() {
			_ = group.Close()
			_ = folder.Close()
			m.client.Close()
		})
	}
	isStarted.Store(true)
	version := 0
	// acknowledge returns the address of the member that acknowledges the next change.
	acknowledge := func(except string) (leader string) {
		version++
		await(t, func() bool {
			for address, m := range members {
				if address == except {
					continue
				}
				if status, _ := m.put(version); status == http.StatusOK {
					leader = address
					return true
				}
			}
			return false
		})
		return leader
	}
	for round := range 3 {
		former := acknowledge("")
		m := members[former]
		m.isFull.Store(true)
		version++
		if status, _ := m.put(version); status != http.StatusServiceUnavailable && status != http.StatusTemporaryRedirect {
			t.Errorf("round %d: the full leader answered %d", round, status)
		}
		next := acknowledge(former)
		await(t, func() bool {
			status, location := m.put(version)
			return status == http.StatusTemporaryRedirect && location == next
		})
		if m.group.Full() && (&Member{service: m.service}).ready() == nil {
			t.Errorf("round %d: the full member counts as ready", round)
		}
		m.isFull.Store(false)
		await(t, func() bool { return (&Member{service: m.service}).ready() == nil })
		acknowledge("")
		await(t, func() bool { return int(m.table.Version()) == version })
	}
}
