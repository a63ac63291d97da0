// Conversion between wire messages and the library's own types.

#ifndef WAXWING_WIRE_CONVERT_H_
#define WAXWING_WIRE_CONVERT_H_

#include <optional>

#include "schema/wire_generated.h"
#include "waxwing/ledger.h"
#include "waxwing/membership.h"
#include "waxwing/target_view.h"

namespace waxwing {

wire::member_recordT ToWire(const member& record);

// Returns std::nullopt if the status is unknown to this version.
std::optional<member> FromWire(const wire::member_recordT& record);

wire::ledger_noteT ToWire(const ticket_id& id,
                          const ledger_entry& entry,
                          std::uint64_t number);

// Converts an entry and sets `id` to its ticket. Returns std::nullopt if the
// step is unknown to this version.
std::optional<ledger_entry> FromWire(const wire::ledger_noteT& note,
                                     ticket_id& id);

target_report FromWire(const wire::target_digestT& digest);

}  // namespace waxwing

#endif  // WAXWING_WIRE_CONVERT_H_
