/// spanplank-router: an entry box.
#include "daemon_main_p.h"
#include "spanplank/daemons.h"

int main(int _argc, char** _argv)
{
	return spanplank::daemonMain(_argc, _argv,
								 {"spanplank-router: takes callers' requests and sends them to upstreams.\n"
								  "usage: spanplank-router --settings FILE [--check]",
								  spanplank::runRouter, spanplank::checkRouterSettings});
}
