package archiver

import (
	"context"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"banyanquay/internal/provider"
)

// List returns the list of VMs, for use in the same process.
func (a *Archiver) List() provider.List {
	return provider.List{VMs: a.list}
}

func (a *Archiver) list(context.Context) ([]provider.VM, error) {
	if a.control.Get().ListOutage {
		return nil, trace.ConnectionProblem(nil, "the platform is down")
	}
	return slices.Clone(a.vms.Get()), nil
}

// SetVM adds or replaces an entry of the list.
func (a *Archiver) SetVM(vm provider.VM) {
	a.replaceVM(vm.Address, &vm)
}

// DropVM removes an entry of the list.
func (a *Archiver) DropVM(address string) {
	a.replaceVM(address, nil)
}

// replaceVM replaces the entry of an address; nil removes it.
func (a *Archiver) replaceVM(address string, vm *provider.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(a.vms.Latest()), func(old provider.VM) bool {
		return old.Address == address
	})
	if vm != nil {
		list = append(list, *vm)
	}
	a.vms.Set(list)
}

// Entry is a VM in the text form role=address@centre.
type Entry struct {
	VM provider.VM
}

// UnmarshalText parses role=address@centre.
func (e *Entry) UnmarshalText(text []byte) error {
	role, rest, ok := strings.Cut(string(text), "=")
	address, centre, ok2 := strings.Cut(rest, "@")
	if !ok || !ok2 || address == "" || centre == "" {
		return trace.BadParameter("%q is not of the form role=address@centre", text)
	}
	switch role {
	case provider.RoleNode, provider.RoleEndpoint, provider.RoleService:
	default:
		return trace.BadParameter("%q is not a role", role)
	}
	e.VM = provider.VM{Address: address, Role: role, Centre: centre}
	return nil
}
