package zpobject

import (
	"encoding/json"
	"fmt"
)

type (
	wireObject struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
		Body     []byte `json:"body,omitempty"`
		Deleted  bool   `json:"deleted,omitempty"`
	}
	wireListing struct {
		Objects  []wireObject `json:"objects"`
		Revision int64        `json:"revision"`
	}
	wireVM struct {
		Name    string `json:"name"`
		Leaving bool   `json:"leaving"`
	}
)

// EncodeObject encodes an object in the platform's JSON format.
func EncodeObject(o Object) ([]byte, error) { return json.Marshal(wireObject(o)) }

// EncodeListing encodes a listing in the platform's JSON format.
func EncodeListing(l Listing) ([]byte, error) {
	w := wireListing{Revision: l.Revision, Objects: make([]wireObject, 0, len(l.Objects))}
	for _, o := range l.Objects {
		w.Objects = append(w.Objects, wireObject(o))
	}
	return json.Marshal(w)
}

// EncodeVMs encodes the list of VMs in the platform's JSON format.
func EncodeVMs(vms []VM) ([]byte, error) {
	w := make([]wireVM, 0, len(vms))
	for _, v := range vms {
		w = append(w, wireVM(v))
	}
	return json.Marshal(w)
}

func decodeObject(text []byte) (Object, error) {
	var w wireObject
	if err := json.Unmarshal(text, &w); err != nil {
		return Object{}, fmt.Errorf("decode object: %w", err)
	}
	return Object(w), nil
}

func decodeListing(text []byte) (Listing, error) {
	var w wireListing
	if err := json.Unmarshal(text, &w); err != nil {
		return Listing{}, fmt.Errorf("decode listing: %w", err)
	}
	l := Listing{Revision: w.Revision}
	for _, o := range w.Objects {
		l.Objects = append(l.Objects, Object(o))
	}
	return l, nil
}

// DecodeVMs decodes the list of VMs from the platform's JSON format.
func DecodeVMs(text []byte) ([]VM, error) {
	var w []wireVM
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, fmt.Errorf("decode VM list: %w", err)
	}
	vms := make([]VM, 0, len(w))
	for _, v := range w {
		vms = append(vms, VM(v))
	}
	return vms, nil
}
