package process

import "net"

// FreeAddresses returns loopback addresses that were free a moment ago, for TCP
// and UDP alike.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for len(addresses) < count {
		// All are held until the end, so that no address comes twice.
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		address := listener.Addr().String()
		datagrams, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		defer datagrams.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
