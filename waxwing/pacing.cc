#include "waxwing/pacing.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace waxwing {
namespace {

constexpr double kLargestWindow = 400'000;
// Shares of the objective above which the window shrinks, and below which it
// grows.
constexpr double kShrinkAbove = 0.8;
constexpr double kGrowBelow = 0.5;
constexpr double kShrink = 0.85;
// Share of the work answered in time that the window grows by.
constexpr double kGrowth = 0.1;
constexpr double kFirstByteSmoothing = 0.1;
// The effect of one change shows only after the requests under way.
constexpr milliseconds kShrinkPause{150};

// Weight of one request in the mean work, which follows over some fifty.
constexpr double kWorkSmoothing = 0.02;
// Requests that a VM may always have unread: fewer than it has now and then
// when the VMs are many and each has one or two on average.
constexpr double kFewestUnread = 6;

}  // namespace

double SmallestWindow(double share, double mean_tokens) {
  return std::max(share, kFewestUnread * mean_tokens);
}

bool HasCapacity(const pace& of, double tokens) {
  return of.outstanding <= 0 || of.outstanding + tokens <= of.window;
}

void NoteWorkSent(pace& of, double tokens) {
  of.mean_tokens =
      of.mean_tokens > 0
          ? of.mean_tokens + kWorkSmoothing * (tokens - of.mean_tokens)
          : tokens;
  of.outstanding += tokens;
}

void NoteWorkBegun(pace& of,
                   double tokens,
                   duration took,
                   duration objective,
                   instant now) {
  NoteWorkGone(of, tokens);
  of.first_byte = std::chrono::duration_cast<duration>(
      of.first_byte * (1 - kFirstByteSmoothing) + took * kFirstByteSmoothing);
  if (took > objective * kShrinkAbove && now >= of.shrunk_at + kShrinkPause) {
    of.window = std::max(of.smallest, of.window * kShrink);
    of.shrunk_at = now;
  } else if (took < objective * kGrowBelow) {
    of.window = std::min(kLargestWindow, of.window + tokens * kGrowth);
  }
}

void NoteWorkGone(pace& of, double tokens) {
  of.outstanding = std::max(0.0, of.outstanding - tokens);
}

namespace {

auto OrderOf(const pace& of, const waiting_turn& turn, instant now) {
  const bool is_late = now + of.first_byte > turn.in_time_by;
  return std::tuple(is_late, turn.in_time_by, turn.rank, turn.arrived);
}

}  // namespace

std::optional<std::size_t> PickTurn(const pace& of,
                                    std::span<const waiting_turn> waiting,
                                    instant now) {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    if (!best ||
        OrderOf(of, waiting[i], now) < OrderOf(of, waiting[*best], now))
      best = i;
  }
  return best;
}

bool IsHopeless(const waiting_turn& turn, instant now) {
  return now >= turn.useful_until;
}

duration TimeToSend(const pace& of, double tokens) {
  if (of.window <= 0)
    return {};
  return std::chrono::duration_cast<duration>(of.first_byte * tokens /
                                              of.window);
}

std::vector<std::size_t> FindHopeless(const pace& of,
                                      std::span<const waiting_turn> waiting,
                                      instant now) {
  std::vector<std::size_t> order(waiting.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return OrderOf(of, waiting[a], now) < OrderOf(of, waiting[b], now);
  });
  std::vector<std::size_t> out;
  double ahead = 0;
  for (const std::size_t i : order) {
    if (IsHopeless(waiting[i], now + TimeToSend(of, ahead)))
      out.push_back(i);
    else
      ahead += waiting[i].tokens;
  }
  return out;
}

}  // namespace waxwing
