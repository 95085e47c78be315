package kcwcontrol

import (
	"fmt"
	"testing"

	"kingcupwick.example/kcw/kcwpb"
)

// BenchmarkPackList measures the compression of a list of 168 upstreams, which took place in
// each answer to a router before lists were compressed once for all of them.
func BenchmarkPackList(b *testing.B) {
	list := &kcwpb.UpstreamList{Version: 1, Reader: "reader"}
	for i := range 168 {
		list.Upstreams = append(list.Upstreams, &kcwpb.UpstreamRecord{
			Id: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: "kcw-model", Zone: fmt.Sprintf("neweng-%c", 'a'+i%5), Address: fmt.Sprintf("10.%d.64.%d:8045", i%5+1, i), Slots: 32,
		})
	}
	for b.Loop() {
		if _, err := packList(list); err != nil {
			b.Fatal(err)
		}
	}
}
