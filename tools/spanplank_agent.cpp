/// spanplank-agent: the process beside an upstream.
#include "daemon_main_p.h"
#include "spanplank/daemons.h"

int main(int _argc, char** _argv)
{
	return spanplank::daemonMain(_argc, _argv,
								 {"spanplank-agent: the last gate before an upstream.\n"
								  "usage: spanplank-agent --settings FILE [--check]",
								  spanplank::runAgent, spanplank::checkAgentSettings});
}
