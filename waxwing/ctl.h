// The operators' command line, apart from its main, so that whole sessions can
// be recorded and compared in tests.

#ifndef WAXWING_CTL_H_
#define WAXWING_CTL_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <ostream>
#include <string>

#include "waxwing/types.h"

namespace waxwing {

struct ctl_command {
  endpoint agent;
  std::string key;
  std::string operator_name;
  bool as_json = false;
  milliseconds wait{5'000};
  // status, intent, confirm, wait, audit or watch.
  std::string verb;
  std::string argument;
};

// Runs one command and writes what it has to say to `out`. Gives the exit code:
// kExitBadSettings for an unknown verb, kExitFailure if the agent refused or a
// generation is not in force everywhere in time.
boost::asio::awaitable<int> RunCtl(boost::asio::any_io_executor executor,
                                   ctl_command command,
                                   std::ostream& out);

}  // namespace waxwing

#endif  // WAXWING_CTL_H_
