#include "waxwing/settings.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace waxwing {
namespace {

constexpr setting kTable[] = {
    {.name = "vm", .required = true},
    {.name = "port-count",
     .kind = setting_kind::kInteger,
     .default_value = "4",
     .minimum = 1,
     .maximum = 8},
    {.name = "listen", .kind = setting_kind::kEndpoint},
    {.name = "quick", .kind = setting_kind::kFlag, .default_value = "false"},
    {.name = "mode",
     .kind = setting_kind::kChoice,
     .default_value = "a",
     .choices = "a|b"},
};

tl::expected<settings, std::vector<settings_error>> Read(
    std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "program");
  return ReadSettings(kTable, static_cast<int>(arguments.size()),
                      arguments.data());
}

TEST(Settings, FlagOverridesEnvironmentAndDefault) {
  setenv("WAXWING_PORT_COUNT", "5", 1);
  const auto from_environment = Read({"--vm", "x"});
  const auto from_flag = Read({"--vm", "x", "--port-count", "6"});
  unsetenv("WAXWING_PORT_COUNT");
  const auto from_default = Read({"--vm", "x"});
  ASSERT_TRUE(from_environment && from_flag && from_default);
  EXPECT_EQ(GetInteger(*from_environment, "port-count"), 5);
  EXPECT_EQ(GetInteger(*from_flag, "port-count"), 6);
  EXPECT_EQ(GetInteger(*from_default, "port-count"), 4);
}

TEST(Settings, AllErrorsAreReportedTogether) {
  const auto read =
      Read({"--port-count", "9", "--listen", "localhost:1", "--mode", "c"});
  ASSERT_FALSE(read);
  ASSERT_EQ(read.error().size(), 4u);
  EXPECT_EQ(read.error()[0].failure, settings_failure::kMissing);
  EXPECT_EQ(read.error()[1].message,
            "--port-count \"9\" is not a number from 1 to 8");
  EXPECT_EQ(read.error()[2].message,
            "--listen \"localhost:1\" does not start with an IP number");
  EXPECT_EQ(read.error()[3].message, "--mode \"c\" is not one of a|b");
}

TEST(Settings, UnknownFlagIsRejected) {
  const auto read = Read({"--vm", "x", "--nonsense"});
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error()[0].failure, settings_failure::kUnknownFlag);
}

TEST(Settings, BareFlagDoesNotConsumeTheNextArgument) {
  const auto read = Read({"--vm", "x", "--quick", "command"});
  ASSERT_TRUE(read);
  EXPECT_TRUE(GetFlag(*read, "quick"));
  ASSERT_EQ(read->arguments.size(), 1u);
  EXPECT_EQ(read->arguments[0], "command");
}

TEST(Settings, EndpointMustBeNumeric) {
  EXPECT_TRUE(ParseEndpoint("127.0.0.1:80"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:65536"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:8x"));
  EXPECT_FALSE(ParseEndpoint(std::string_view("127.0.0.1\0x:80", 14)));
}

}  // namespace
}  // namespace waxwing
