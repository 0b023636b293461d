#include "runtime/log.h"

#include <algorithm>
#include <array>
#include <memory>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/str_split.h"
#include "log4cxx/asyncappender.h"
#include "log4cxx/basicconfigurator.h"
#include "log4cxx/consoleappender.h"
#include "log4cxx/helpers/pool.h"
#include "log4cxx/logger.h"
#include "log4cxx/patternlayout.h"

namespace foxtailquay {

namespace {

log4cxx::LevelPtr ToLog4cxxLevel(log_level aLevel)
{
  switch (aLevel) {
    case log_level::Debug:
      return log4cxx::Level::getDebug();
    case log_level::Info:
      return log4cxx::Level::getInfo();
    case log_level::Warn:
      return log4cxx::Level::getWarn();
    case log_level::Error:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

// Returns the logger of a component. All loggers are looked up once, because
// the lookup by name takes a lock.
const log4cxx::LoggerPtr& GetLogger(log_component aComponent)
{
  static const auto kLoggers = [] {
    std::array<log4cxx::LoggerPtr, CountEnumerators<log_component>()> loggers;
    for (const auto& entry : NameTable(log_component{})) {
      loggers[static_cast<std::size_t>(entry.mValue)] =
        log4cxx::Logger::getLogger(std::string(entry.mName));
    }
    return loggers;
  }();
  return kLoggers[static_cast<std::size_t>(aComponent)];
}

bool NeedsQuotes(const std::string& aValue)
{
  return aValue.empty() ||
         std::any_of(aValue.begin(), aValue.end(), [](unsigned char aChar) {
           return aChar <= ' ' || aChar == '"' || aChar == '=' ||
                  aChar == '\\' || aChar == 0x7f;
         });
}

void AppendQuoted(std::string& aLine, const std::string& aValue)
{
  aLine += '"';
  for (const char c : aValue) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      aLine += '\\';
      aLine += c;
    } else if (byte < ' ' || byte == 0x7f) {
      absl::StrAppend(&aLine, "\\x", absl::Hex(byte, absl::kZeroPad2));
    } else {
      aLine += c;
    }
  }
  aLine += '"';
}

template<typename Enum>
std::string JoinNames()
{
  std::vector<std::string> names;
  for (const auto& entry : NameTable(Enum{})) {
    names.emplace_back(entry.mName);
  }
  return absl::StrJoin(names, ", ");
}

// Lines that may wait for the writer thread; further ones are dropped and
// counted.
constexpr int kMaxBufferedLines = 512;

log4cxx::AppenderPtr MakeAsyncAppender(const log4cxx::AppenderPtr& aTarget)
{
  auto appender = std::make_shared<log4cxx::AsyncAppender>();
  appender->setBufferSize(kMaxBufferedLines);
  appender->setBlocking(false);
  appender->addAppender(aTarget);
  log4cxx::helpers::Pool pool;
  appender->activateOptions(pool);
  return appender;
}

void AppendField(std::string& aLine, std::string_view aKey,
                 const std::string& aValue)
{
  aLine += ' ';
  aLine += aKey;
  aLine += '=';
  if (NeedsQuotes(aValue)) {
    AppendQuoted(aLine, aValue);
  } else {
    aLine += aValue;
  }
}

error MakeLevelsError(std::string aDetail)
{
  return error{ error_code::InvalidSetting, executed::No, "--log_levels",
                std::move(aDetail), absl::ZeroDuration() };
}

} // namespace

void StartLog(const log_options& aOptions)
{
  const log4cxx::LayoutPtr layout(
    new log4cxx::PatternLayout("%d{yyyy-MM-ddTHH:mm:ss.SSSZ} %p %c %m%n"));
  const log4cxx::AppenderPtr console(new log4cxx::ConsoleAppender(
    layout, aOptions.mNeverBlock ? log4cxx::ConsoleAppender::getSystemOut()
                                 : log4cxx::ConsoleAppender::getSystemErr()));
  const log4cxx::AppenderPtr appender =
    aOptions.mNeverBlock ? MakeAsyncAppender(console) : console;
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  for (const auto& entry : NameTable(log_component{})) {
    const auto componentLevel = aOptions.mLevels.find(entry.mValue);
    GetLogger(entry.mValue)
      ->setLevel(ToLog4cxxLevel(componentLevel == aOptions.mLevels.end()
                                  ? aOptions.mLevel
                                  : componentLevel->second));
  }
}

bool IsLogged(log_component aComponent, log_level aLevel)
{
  return GetLogger(aComponent)->isEnabledFor(ToLog4cxxLevel(aLevel));
}

std::string FormatLogLine(log_event aEvent,
                          std::initializer_list<log_field> aFields)
{
  std::string line(ToName(aEvent));
  for (const log_field& field : aFields) {
    AppendField(line, field.mKey, field.mValue);
  }
  return line;
}

void Log(log_component aComponent, log_level aLevel, log_event aEvent,
         std::initializer_list<log_field> aFields)
{
  if (IsLogged(aComponent, aLevel)) {
    GetLogger(aComponent)
      ->forcedLog(ToLog4cxxLevel(aLevel), FormatLogLine(aEvent, aFields),
                  log4cxx::spi::LocationInfo::getLocationUnavailable());
  }
}

void LogNamed(
  log_component aComponent, log_level aLevel, std::string_view aEvent,
  const std::vector<std::pair<std::string_view, std::string>>& aFields)
{
  if (!IsLogged(aComponent, aLevel)) {
    return;
  }
  std::string line(aEvent);
  for (const auto& field : aFields) {
    AppendField(line, field.first, field.second);
  }
  GetLogger(aComponent)
    ->forcedLog(ToLog4cxxLevel(aLevel), line,
                log4cxx::spi::LocationInfo::getLocationUnavailable());
}

result<std::map<log_component, log_level>> ParseLogLevels(
  std::string_view aText)
{
  std::map<log_component, log_level> levels;
  if (aText.empty()) {
    return levels;
  }
  for (const std::string& part : std::vector<std::string>(
         absl::StrSplit(absl::string_view(aText.data(), aText.size()), ','))) {
    const std::vector<std::string> pair = absl::StrSplit(part, '=');
    if (pair.size() != 2) {
      return MakeLevelsError(
        absl::StrCat("\"", part, "\" is not component=level"));
    }
    const auto component = FromName<log_component>(pair[0]);
    if (!component) {
      return MakeLevelsError(absl::StrCat("unknown component \"", pair[0],
                                          "\"; it must be one of ",
                                          JoinNames<log_component>()));
    }
    const auto level = FromName<log_level>(pair[1]);
    if (!level) {
      return MakeLevelsError(absl::StrCat("unknown level \"", pair[1],
                                          "\"; it must be one of ",
                                          JoinNames<log_level>()));
    }
    levels[*component] = *level;
  }
  return levels;
}

} // namespace foxtailquay
