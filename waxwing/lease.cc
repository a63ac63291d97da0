#include "waxwing/lease.h"

#include <boost/json.hpp>

namespace waxwing {

namespace json = boost::json;

namespace {

constexpr std::int64_t kLargestNumber = std::int64_t{1} << 53;

bool IsOwn(const lease_view& view) {
  return view.version != 0 && view.record.holder == view.self &&
         view.record.incarnation == view.incarnation;
}

}  // namespace

std::string WriteLease(const lease_record& from) {
  return json::serialize(
      json::object{{"holder", from.holder},
                   // As text: a JSON number does not carry 64 bits everywhere.
                   {"incarnation", std::to_string(from.incarnation)},
                   {"fence", from.fence},
                   {"renewals", from.renewals}});
}

tl::expected<lease_record, json_error> ReadLease(std::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed)
    return tl::unexpected(parsed.error());
  const auto holder = ReadText(*parsed, "holder");
  if (!holder)
    return tl::unexpected(holder.error());
  const auto incarnation = ReadText(*parsed, "incarnation");
  if (!incarnation)
    return tl::unexpected(incarnation.error());
  const auto fence = ReadInteger(*parsed, "fence", 1, kLargestNumber);
  if (!fence)
    return tl::unexpected(fence.error());
  const auto renewals =
      ReadIntegerOr(*parsed, "renewals", 0, kLargestNumber, 0);
  if (!renewals)
    return tl::unexpected(renewals.error());
  return lease_record{*holder, std::strtoull(incarnation->c_str(), nullptr, 10),
                      static_cast<std::uint64_t>(*fence),
                      static_cast<std::uint64_t>(*renewals)};
}

void ObserveLease(lease_view& view,
                  const lease_record& record,
                  std::uint64_t version,
                  instant now,
                  std::optional<instant> sent) {
  if (version != view.version)
    view.seen = now;
  view.record = record;
  view.version = version;
  if (!IsOwn(view))
    view.renewed.reset();
  else if (sent)
    view.renewed = sent;
}

lease_action NextAction(const lease_view& view, instant now) {
  if (IsOwn(view) && view.renewed) {
    return now >= *view.renewed + view.terms.renewal ? lease_action::kRenew
                                                     : lease_action::kWait;
  }
  if (view.version == 0)
    return lease_action::kTake;
  return now >= view.seen + view.terms.takeover ? lease_action::kTake
                                                : lease_action::kWait;
}

lease_record NextRecord(const lease_view& view, lease_action action) {
  lease_record out{view.self, view.incarnation, view.record.fence,
                   view.record.renewals + 1};
  if (action == lease_action::kTake)
    ++out.fence;
  return out;
}

bool HoldsLease(const lease_view& view, instant now) {
  return IsOwn(view) && view.renewed &&
         now < *view.renewed + view.terms.term - view.terms.margin;
}

}  // namespace waxwing
