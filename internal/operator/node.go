package operator

// Node is what the operator of a node says beside the platform's start-up file. Nothing in it is needed: without a
// file a node is as the platform's settings have it.
type Node struct {
	LogForm string
	LogFrom string
}

// ReadNode reads and checks deploy/node.ini whole.
func ReadNode(path string) (*Node, error) {
	t, err := Open(path)
	if err != nil {
		return nil, err
	}
	n := &Node{LogForm: t.Choice("log", "form", "text", "text", "json"),
		LogFrom: t.Choice("log", "from", "info", "debug", "info", "warning", "error")}
	if err := t.Done(); err != nil {
		return nil, err
	}
	return n, nil
}
