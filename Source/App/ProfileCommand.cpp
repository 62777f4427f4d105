#include <array>
#include <exception>
#include <iostream>
#include <string_view>

#include "App/AuditPrinter.h"
#include "App/CommandLine.h"
#include "App/Commands.h"
#include "App/OperatorClient.h"
#include "App/TimeText.h"
#include "Common/TextFile.h"
#include "Configuration/ProfileDiff.h"
#include "Model/Profile.h"
#include "Shell/OperatorJson.h"

namespace camphorstep {

namespace {

void
AddFileOption(cxxopts::Options& aOptions)
{
  aOptions.add_options()(
    "file", "the profile file", cxxopts::value<std::string>(), "FILE");
}

void
AddVersionOption(cxxopts::Options& aOptions, const char* aName)
{
  aOptions.add_options()(aName,
                         "a published version; the one in force if not given",
                         cxxopts::value<std::uint64_t>(),
                         "N");
}

void
AddPublishOptions(cxxopts::Options& aOptions)
{
  auto add = aOptions.add_options();
  add("reason",
      "why, for the audit trail",
      cxxopts::value<std::string>(),
      "TEXT");
  add("base",
      "the version that the change was made from; the one in force if not "
      "given",
      cxxopts::value<std::uint64_t>(),
      "N");
  add("change-id",
      "identifier of an earlier try whose outcome is not known",
      cxxopts::value<std::string>(),
      "ID");
}

std::uint64_t
NumberOr(const cxxopts::ParseResult& aArguments,
         const char* aName,
         std::uint64_t aDefault)
{
  return aArguments.count(aName) > 0 ? aArguments[aName].as<std::uint64_t>()
                                     : aDefault;
}

std::string
RequireText(const cxxopts::ParseResult& aArguments, const char* aName)
{
  int status = 0;
  std::string text = RequireOption(aArguments, aName, status);
  if (text.empty()) {
    throw std::runtime_error("nothing was done");
  }
  return text;
}

/// Reads a published version through any host; zero is the one in force.
OperatorAnswer
ReadVersion(const OperatorTarget& aTarget, std::uint64_t aVersion)
{
  return CallAnyHost(
    aTarget, "/v1/profile/show", ToJson(ReadProfiles{ aVersion }));
}

/// Publishes a text with the reason, base and change identifier of the
/// command line.
int
PublishText(const cxxopts::ParseResult& aArguments,
            const OperatorTarget& aTarget,
            std::string aText)
{
  PublishProfiles action;
  action.mText = std::move(aText);
  action.mReason = RequireText(aArguments, "reason");
  action.mChangeId = aArguments.count("change-id") > 0
                       ? aArguments["change-id"].as<std::string>()
                       : MakeChangeId();
  if (aArguments.count("base") > 0) {
    action.mBaseVersion = aArguments["base"].as<std::uint64_t>();
  } else {
    const OperatorAnswer current = ReadVersion(aTarget, 0);
    if (current.mOutcome != Outcome::Done || !current.mRecord) {
      return Report(current);
    }
    action.mBaseVersion = current.mRecord->mVersion;
  }
  return Report(Publish(aTarget, action));
}

int
RunCheck(const cxxopts::ParseResult& aArguments)
{
  const std::string path = RequireText(aArguments, "file");
  try {
    const Configuration configuration =
      ParseConfiguration(ReadIniFile(path), 1);
    std::cout << path << ": ok, " << configuration.mProfiles.size()
              << " profiles, " << configuration.mServices.size()
              << " services\n";
    return 0;
  } catch (const std::exception& ex) {
    std::cerr << "error " << static_cast<unsigned>(ResultCode::InvalidProfile)
              << " (" << NameOf(ResultCode::InvalidProfile)
              << "): " << ex.what() << "\n";
    return kExitRefused;
  }
}

int
RunDiff(const cxxopts::ParseResult& aArguments)
{
  const IniFile file = ReadIniFile(RequireText(aArguments, "file"));
  const OperatorAnswer answer =
    ReadVersion(ReadTarget(aArguments), NumberOr(aArguments, "against", 0));
  if (answer.mOutcome != Outcome::Done || !answer.mRecord) {
    return Report(answer);
  }
  const std::vector<ProfileChange> changes =
    DiffProfiles(ParseIni(answer.mRecord->mText, "published"), file);
  std::cout << changes.size() << " differences from version "
            << answer.mRecord->mVersion << "\n";
  for (const ProfileChange& change : changes) {
    std::cout << "[" << change.mSection << "] " << change.mKey << ": '"
              << change.mOld << "' -> '" << change.mNew << "'\n";
  }
  return 0;
}

int
RunPublish(const cxxopts::ParseResult& aArguments)
{
  const int checked = RunCheck(aArguments);
  if (checked != 0) {
    return checked;
  }
  return PublishText(aArguments,
                     ReadTarget(aArguments),
                     ReadTextFile(RequireText(aArguments, "file")));
}

int
RunShow(const cxxopts::ParseResult& aArguments)
{
  const OperatorAnswer answer =
    ReadVersion(ReadTarget(aArguments), NumberOr(aArguments, "number", 0));
  if (answer.mOutcome != Outcome::Done || !answer.mRecord) {
    return Report(answer);
  }
  const ConfigurationRecord& record = *answer.mRecord;
  std::cout << "# version " << record.mVersion << " by " << record.mAuthor
            << " at " << FormatTime(record.mPublishedAt) << ": "
            << record.mReason << "\n"
            << record.mText;
  return 0;
}

int
RunHistory(const cxxopts::ParseResult& aArguments)
{
  return PrintAudit(
    ReadTarget(aArguments), ReadAuditFilter(aArguments), "publish");
}

int
RunRollback(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("to") == 0) {
    std::cerr << "option --to is missing\n";
    return kExitUsage;
  }
  const OperatorTarget target = ReadTarget(aArguments);
  const OperatorAnswer answer =
    ReadVersion(target, aArguments["to"].as<std::uint64_t>());
  if (answer.mOutcome != Outcome::Done || !answer.mRecord) {
    return Report(answer);
  }
  return PublishText(aArguments, target, answer.mRecord->mText);
}

/// One thing to do with profiles.
struct ProfileAction
{
  std::string_view mName;
  const char* mHelp;
  int (*mRun)(const cxxopts::ParseResult&);
};

constexpr std::array kActions{
  ProfileAction{ "check", "Checks a profile file.", RunCheck },
  ProfileAction{ "diff", "Compares a file with a published version.", RunDiff },
  ProfileAction{ "publish",
                 "Publishes a file as the next version.",
                 RunPublish },
  ProfileAction{ "show", "Shows a published version.", RunShow },
  ProfileAction{ "history", "Lists what was published.", RunHistory },
  ProfileAction{ "rollback",
                 "Publishes an older text as the next version.",
                 RunRollback },
};

void
AddOptions(std::string_view aName, cxxopts::Options& aOptions)
{
  if (aName != "check") {
    AddTargetOptions(aOptions);
  }
  if (aName == "check" || aName == "diff" || aName == "publish") {
    AddFileOption(aOptions);
  }
  if (aName == "publish" || aName == "rollback") {
    AddPublishOptions(aOptions);
  }
  if (aName == "diff") {
    AddVersionOption(aOptions, "against");
  }
  if (aName == "show") {
    AddVersionOption(aOptions, "number");
  }
  if (aName == "rollback") {
    AddVersionOption(aOptions, "to");
  }
  if (aName == "history") {
    AddAuditOptions(aOptions);
  }
}

int
RunAction(const ProfileAction& aAction,
          int aCount,
          const char* const* aArguments)
{
  cxxopts::Options options =
    MakeOptions("profile " + std::string(aAction.mName), aAction.mHelp);
  AddOptions(aAction.mName, options);
  int status = 0;
  const auto arguments = ParseArguments(options, aCount, aArguments, status);
  return arguments ? aAction.mRun(*arguments) : status;
}

void
PrintActions(std::ostream& aOut)
{
  aOut << "usage: camphorstep profile ACTION [OPTIONS]\n\nactions:\n";
  for (const ProfileAction& action : kActions) {
    aOut << "  " << action.mName << "\t" << action.mHelp << "\n";
  }
}

}

int
RunProfileCommand(int aCount, const char* const* aArguments)
{
  const std::string_view name = aCount > 1 ? aArguments[1] : "";
  for (const ProfileAction& action : kActions) {
    if (action.mName == name) {
      return RunAction(action, aCount - 1, aArguments + 1);
    }
  }
  if (name == "--help" || name == "-h") {
    PrintActions(std::cout);
    return 0;
  }
  if (name == "--version") {
    std::cout << "camphorstep " << CAMPHORSTEP_VERSION << "\n";
    return 0;
  }
  PrintActions(std::cerr);
  return kExitUsage;
}

}
