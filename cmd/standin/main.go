// Command standin runs stand-ins of the platform and of upstreams, and the demo.
// It is a test program and is not shipped.
package main

func main() {}
