// Wisteriaweir is a layer-4 load balancer that runs as one plain process on
// each of many small entry hosts.
//
// # Usage
//
//	wisteriaweir COMMAND [flags]
//
// The commands are listed by wisteriaweir --help, and each has a page in docs/.
package main

import (
	"context"
	"os"
)

func main() {
	os.Exit(run(context.Background(), os.Args))
}
