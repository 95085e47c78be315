package kcwgroup

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net/netip"
	"os"

	"kingcupwick.example/kcw/kcwfolder"
	"kingcupwick.example/kcw/kcwpb"
)

// Names of files and folders in the replica's folder.
const (
	identityFile   = "Replica.json"
	foundingFile   = "Founding.json"
	logFolder      = "Log"
	snapshotFolder = "Snapshots"
)

// identity is the content of identityFile.
type identity struct {
	Group string
	Name  string
	ID    uint64
	// Started is set once the log has been created; from then on a missing log is
	// an error.
	Started bool
}

// founding is the content of foundingFile: the set of founders that this replica has
// persisted.
type founding struct {
	Members []founder
}

// founder is one member in foundingFile.
type founder struct {
	ID      uint64
	Name    string
	Zone    string
	Address netip.AddrPort
}

func loadFounders(folder *kcwfolder.Folder) ([]*kcwpb.Member, error) {
	var stored founding
	err := folder.ReadJSON(foundingFile, &stored)
	if isMissing(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fail("open", Storage, err)
	}
	var members []*kcwpb.Member
	for _, f := range stored.Members {
		members = append(members, &kcwpb.Member{
			Id: f.ID, Name: f.Name, Zone: f.Zone, Address: f.Address.String(),
		})
	}
	return members, nil
}

func storeFounders(folder *kcwfolder.Folder, members []*kcwpb.Member) error {
	var stored founding
	for _, m := range members {
		address, err := netip.ParseAddrPort(m.Address)
		if err != nil {
			return fail("found", Invalid, err)
		}
		stored.Members = append(stored.Members, founder{m.Id, m.Name, m.Zone, address})
	}
	if err := folder.WriteJSON(foundingFile, stored); err != nil {
		return fail("found", Storage, err)
	}
	return nil
}

// loadIdentity reads the replica's identity, or creates one if the folder is empty.
func loadIdentity(cfg Config) (identity, error) {
	var id identity
	err := cfg.Folder.ReadJSON(identityFile, &id)
	if isMissing(err) {
		return createIdentity(cfg)
	}
	if err != nil {
		return id, fail("open", Storage, err)
	}
	if id.Group != cfg.Group || id.Name != cfg.Name || id.ID == 0 {
		return id, fail("open", Storage, errors.New("the folder belongs to replica "+id.Name+" of group "+id.Group))
	}
	return id, nil
}

// createIdentity creates and stores a random identity. It fails if the folder holds a
// log but no identity.
func createIdentity(cfg Config) (identity, error) {
	path, err := cfg.Folder.Sub(logFolder)
	if err != nil {
		return identity{}, fail("open", Storage, err)
	}
	files, err := os.ReadDir(path)
	if err != nil {
		return identity{}, fail("open", Storage, err)
	}
	if len(files) > 0 {
		return identity{}, fail("open", Storage, errors.New("the folder holds a log without "+identityFile))
	}
	id := identity{Group: cfg.Group, Name: cfg.Name}
	for id.ID == 0 {
		var raw [8]byte
		if _, err := rand.Read(raw[:]); err != nil {
			return id, fail("open", Storage, err)
		}
		id.ID = binary.LittleEndian.Uint64(raw[:])
	}
	if err := cfg.Folder.WriteJSON(identityFile, id); err != nil {
		return id, fail("open", Storage, err)
	}
	return id, nil
}

func isMissing(err error) bool {
	var e *kcwfolder.Error
	return errors.As(err, &e) && e.Kind == kcwfolder.Missing
}
