#include "waxwing/lease.h"

#include <algorithm>
#include <boost/json.hpp>

namespace waxwing {

namespace json = boost::json;

namespace {

// Largest integer that a JSON number carries exactly.
constexpr std::int64_t kLargestNumber = std::int64_t{1} << 53;

// Fencing tokens of one era, so that tokens of all eras that a JSON number can
// carry stay in order.
constexpr std::uint64_t kFencingTokensPerEra = std::uint64_t{1} << 20;
constexpr std::uint64_t kLargestEra =
    static_cast<std::uint64_t>(kLargestNumber) / kFencingTokensPerEra - 1;

// The fencing tokens of the view's era are larger than this one.
std::uint64_t LastTokenBeforeEra(const lease_view& view) {
  return std::min(view.era, kLargestEra) * kFencingTokensPerEra;
}

bool IsHeldBySelf(const lease_view& view) {
  return view.version != 0 && view.record.holder == view.self &&
         view.record.incarnation == view.incarnation;
}

}  // namespace

std::string WriteLease(const lease_record& record) {
  return json::serialize(
      json::object{{"holder", record.holder},
                   // A string, since many JSON readers lose precision above
                   // 53 bits.
                   {"incarnation", std::to_string(record.incarnation)},
                   {"fence", record.fencing_token},
                   {"renewals", record.renewals}});
}

tl::expected<lease_record, json_error> ReadLease(std::string_view text) {
  const auto parsed = ParseObject(text);
  if (!parsed)
    return tl::unexpected(parsed.error());
  const auto holder = ReadString(*parsed, "holder");
  if (!holder)
    return tl::unexpected(holder.error());
  const auto incarnation = ReadString(*parsed, "incarnation");
  if (!incarnation)
    return tl::unexpected(incarnation.error());
  const auto fencing_token = ReadInteger(*parsed, "fence", 1, kLargestNumber);
  if (!fencing_token)
    return tl::unexpected(fencing_token.error());
  const auto renewals =
      ReadIntegerOr(*parsed, "renewals", 0, kLargestNumber, 0);
  if (!renewals)
    return tl::unexpected(renewals.error());
  return lease_record{*holder, std::strtoull(incarnation->c_str(), nullptr, 10),
                      static_cast<std::uint64_t>(*fencing_token),
                      static_cast<std::uint64_t>(*renewals)};
}

void ObserveLease(lease_view& view,
                  const lease_record& record,
                  std::uint64_t version,
                  instant now,
                  const std::optional<lease_put>& put) {
  if (version != view.version)
    view.version_seen_at = now;
  view.record = record;
  view.version = version;
  if (!IsHeldBySelf(view))
    view.renewal_sent_at.reset();
  else if (put && put->record == record)
    view.renewal_sent_at = put->sent_at;
}

void StartLeaseEra(lease_view& view, std::uint64_t era, instant now) {
  view.reacquire_until =
      HoldsLease(view, now)
          ? *view.renewal_sent_at + view.timing.term - view.timing.margin
          : instant{};
  view.create_at = now + view.timing.takeover_timeout;
  view.era = era;
  view.record = {};
  view.version = 0;
  view.version_seen_at = now;
  view.renewal_sent_at.reset();
}

void ObserveUnreadableLease(lease_view& view,
                            std::uint64_t version,
                            instant now) {
  // Each token of an era was stored by a write, which increased the version.
  const std::uint64_t largest_token =
      LastTokenBeforeEra(view) + std::min(version, kFencingTokensPerEra - 1);
  lease_record unknown;
  unknown.fencing_token = std::max(view.record.fencing_token, largest_token);
  ObserveLease(view, unknown, version, now, std::nullopt);
}

lease_action NextLeaseAction(const lease_view& view, instant now) {
  if (IsHeldBySelf(view) && view.renewal_sent_at) {
    return now >= *view.renewal_sent_at + view.timing.renewal_interval
               ? lease_action::kRenew
               : lease_action::kWait;
  }
  if (now < view.reacquire_until)
    return lease_action::kAcquire;
  if (view.version == 0)
    return now >= view.create_at ? lease_action::kAcquire : lease_action::kWait;
  return now >= view.version_seen_at + view.timing.takeover_timeout
             ? lease_action::kAcquire
             : lease_action::kWait;
}

lease_record NextLeaseRecord(const lease_view& view, lease_action action) {
  lease_record out{view.self, view.incarnation, view.record.fencing_token,
                   view.record.renewals + 1};
  if (action == lease_action::kAcquire)
    out.fencing_token =
        std::max(out.fencing_token, LastTokenBeforeEra(view)) + 1;
  return out;
}

bool HoldsLease(const lease_view& view, instant now) {
  return IsHeldBySelf(view) && view.renewal_sent_at &&
         now < *view.renewal_sent_at + view.timing.term - view.timing.margin;
}

}  // namespace waxwing
