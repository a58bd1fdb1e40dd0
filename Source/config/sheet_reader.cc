#include "config/sheet_reader.h"

#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

#include "core/config_rules.h"

namespace balsamhall {
namespace {

struct SectionForm {
  std::string_view name;
  std::vector<std::string> required;
  std::vector<std::string> optional;
};

const std::vector<SectionForm>& SectionForms() {
  static const std::vector<SectionForm> forms = {
      {"customer", {"name"}, {}},
      {"service", {"name", "divided_by_key", "partitions"}, {}},
      {"endpoint",
       {"service", "name", "data_centre", "region", "address", "slots",
        "connections", "checks_fences"},
       {"vm"}},
      {"kind",
       {"service", "name", "rank", "target_ms", "deadline_ms", "idempotent"},
       {"long_running"}},
      {"policy", {"name", "value"}, {}},
  };
  return forms;
}

const SectionForm* FindForm(const std::string& name) {
  const auto found =
      std::ranges::find(SectionForms(), name, &SectionForm::name);
  return found == SectionForms().end() ? nullptr : &*found;
}

// Sheets write column names with spaces and capitals.
std::string Canonical(std::string_view text) {
  std::string name(text);
  std::ranges::transform(name, name.begin(), [](unsigned char c) {
    return c == ' ' || c == '-' ? '_' : static_cast<char>(std::tolower(c));
  });
  return name;
}

bool UsesSemicolons(const CsvRow& row) {
  const std::string& text = row.cells.front();
  const auto end = text.find(';');
  return end != std::string::npos &&
         FindForm(Canonical(text.substr(0, end))) != nullptr;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::ranges::find(names, name) != names.end();
}

template <typename T>
std::optional<T> ParseNumber(std::string_view text) {
  T value{};
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return value;
}

struct PolicyField {
  std::string_view name;
  void (schema::PolicyConfig::*set)(double);
};

constexpr auto kPolicyFields = std::to_array<PolicyField>({
    {"floor_normal", &schema::PolicyConfig::set_floor_normal},
    {"floor_background", &schema::PolicyConfig::set_floor_background},
    {"retry_ratio", &schema::PolicyConfig::set_retry_ratio},
    {"churn_per_minute", &schema::PolicyConfig::set_churn_per_minute},
    {"move_threshold", &schema::PolicyConfig::set_move_threshold},
    {"churn_weight", &schema::PolicyConfig::set_churn_weight},
    {"service_weight", &schema::PolicyConfig::set_service_weight},
    {"link_share_urgent", &schema::PolicyConfig::set_link_share_urgent},
    {"link_share_normal", &schema::PolicyConfig::set_link_share_normal},
    {"link_share_background", &schema::PolicyConfig::set_link_share_background},
});
constexpr std::string_view kLinkRate = "link_kbit_per_s";

}  // namespace

SheetReader::SheetReader(CsvTable table) : faults_(std::move(table.faults)) {
  const auto other = std::ranges::find_if(table.rows, UsesSemicolons);
  if (other != table.rows.end()) {
    // No cell can be told from another, so further faults would mislead.
    wrong_separator_ = true;
    Fault(other->row, 1,
          "uses \";\" between cells; export the sheet with \",\"");
    return;
  }
  for (auto& row : table.rows) ReadRow(std::move(row));
  BuildCustomer();
  BuildServices();
  BuildEndpoints();
  BuildKinds();
  BuildPolicy();
}

SheetReader::Cell SheetReader::Locate(std::string path) const {
  const auto exact = cells_.find(path);
  if (exact != cells_.end()) return exact->second;
  while (!path.empty()) {
    const auto end = path.find_last_of(".[");
    path.resize(end == std::string::npos ? 0 : end);
    const auto parent = cells_.find(path);
    if (parent != cells_.end()) return {parent->second.row, 0};
  }
  return {};
}

bool SheetReader::IsConsequence(const std::string& path) const {
  return wrong_separator_ || unread_.contains(path) ||
         (dropped_endpoint_ && path.ends_with(".endpoints")) ||
         (dropped_kind_ && path.ends_with(".kinds"));
}

void SheetReader::ReadRow(CsvRow row) {
  if (row.cells.front().starts_with('#')) return;
  const std::string name = Canonical(row.cells.front());
  const SectionForm* const form = FindForm(name);
  if (form == nullptr) {
    Fault(row.row, 1,
          fmt::format("\"{}\" is not a section: customer, service, endpoint, "
                      "kind or policy",
                      row.cells.front()));
    return;
  }
  Section& section = sections_[name];
  if (section.header_row == 0) {
    ReadHeader(name, section, row);
  } else {
    ReadRecord(section, std::move(row));
  }
}

void SheetReader::ReadHeader(const std::string& name, Section& section,
                             const CsvRow& row) {
  const SectionForm& form = *FindForm(name);
  section.header_row = row.row;
  for (std::size_t i = 1; i < row.cells.size(); ++i) {
    const std::string column = Canonical(row.cells[i]);
    if (!column.empty() && !Contains(form.required, column) &&
        !Contains(form.optional, column)) {
      Fault(row.row, i + 1,
            fmt::format("\"{}\" is not a column of section {}: {}",
                        row.cells[i], name, fmt::join(form.required, ", ")));
    } else if (!column.empty() && Contains(section.columns, column)) {
      Fault(row.row, i + 1,
            fmt::format("column \"{}\" appears twice", row.cells[i]));
    }
    section.columns.push_back(column);
  }
  for (const auto& column : form.required) {
    if (!Contains(section.columns, column)) {
      Fault(row.row, 0,
            fmt::format("section {} lacks column \"{}\"", name, column));
    }
  }
}

void SheetReader::ReadRecord(Section& section, CsvRow row) {
  Record record{row.row, {}, {}};
  for (std::size_t i = 0; i < section.columns.size(); ++i) {
    // A row may end before the last column; the column exists all the same.
    if (!section.columns[i].empty()) record.columns[section.columns[i]] = i + 2;
  }
  for (std::size_t i = 1; i < row.cells.size(); ++i) {
    const bool named =
        i <= section.columns.size() && !section.columns[i - 1].empty();
    if (named) {
      record.values[section.columns[i - 1]] = std::move(row.cells[i]);
    } else if (!row.cells[i].empty()) {
      Fault(row.row, i + 1, "has a value but no column name above it");
    }
  }
  section.records.push_back(std::move(record));
}

void SheetReader::BuildCustomer() {
  const auto& records = sections_["customer"].records;
  if (records.empty()) {
    Fault(0, 0, "section customer is missing");
    return;
  }
  config_.set_customer(Text(records.front(), "name", "customer"));
  for (std::size_t i = 1; i < records.size(); ++i) {
    Fault(records[i].row, 0, "a sheet has one customer");
  }
}

void SheetReader::BuildServices() {
  for (const auto& record : sections_["service"].records) {
    const int index = config_.services_size();
    const std::string path = fmt::format("services[{}]", index);
    auto& service = *config_.add_services();
    cells_[path] = {record.row, 0};
    service.set_name(Text(record, "name", path + ".name"));
    service.set_keyed(Flag(record, "divided_by_key", path + ".keyed"));
    service.set_partitions(Number(record, "partitions", path + ".partitions"));
    // A repeated name is reported by the rules.
    services_.emplace(service.name(), index);
  }
}

std::optional<int> SheetReader::ServiceOf(const Record& record) {
  const std::string name = Text(record, "service", "");
  if (name.empty()) return std::nullopt;
  const auto found = services_.find(name);
  if (found != services_.end()) return found->second;
  Fault(record, "service",
        fmt::format("\"{}\" is not the name of a service row", name));
  return std::nullopt;
}

void SheetReader::BuildEndpoints() {
  for (const auto& record : sections_["endpoint"].records) {
    const auto index = ServiceOf(record);
    if (!index) {
      dropped_endpoint_ = true;
      continue;
    }
    auto& service = *config_.mutable_services(*index);
    const std::string path = fmt::format("services[{}].endpoints[{}]", *index,
                                         service.endpoints_size());
    auto& endpoint = *service.add_endpoints();
    cells_[path] = {record.row, 0};
    endpoint.set_name(Text(record, "name", path + ".name"));
    endpoint.set_data_centre(
        Text(record, "data_centre", path + ".data_centre"));
    endpoint.set_region(Text(record, "region", path + ".region"));
    endpoint.set_address(Text(record, "address", path + ".address"));
    endpoint.set_slots(Number(record, "slots", path + ".slots"));
    endpoint.set_connections(
        Number(record, "connections", path + ".connections"));
    endpoint.set_checks_fences(
        Flag(record, "checks_fences", path + ".checks_fences"));
    if (record.values.contains("vm") && !record.values.at("vm").empty()) {
      endpoint.set_vm(Text(record, "vm", path + ".vm"));
    }
  }
}

void SheetReader::BuildKinds() {
  for (const auto& record : sections_["kind"].records) {
    const auto index = ServiceOf(record);
    if (!index) {
      dropped_kind_ = true;
      continue;
    }
    auto& service = *config_.mutable_services(*index);
    const std::string path =
        fmt::format("services[{}].kinds[{}]", *index, service.kinds_size());
    auto& kind = *service.add_kinds();
    cells_[path] = {record.row, 0};
    kind.set_name(Text(record, "name", path + ".name"));
    kind.set_rank(RankOf(record, path + ".rank"));
    kind.set_target_ms(Number(record, "target_ms", path + ".target_ms"));
    kind.set_deadline_ms(Number(record, "deadline_ms", path + ".deadline_ms"));
    kind.set_idempotent(Flag(record, "idempotent", path + ".idempotent"));
    if (record.values.contains("long_running")) {
      kind.set_long_running(
          Flag(record, "long_running", path + ".long_running"));
    }
  }
}

void SheetReader::BuildPolicy() {
  auto& policy = *config_.mutable_policy();
  policy = DefaultPolicy();
  std::map<std::string, std::size_t> seen;
  for (const auto& record : sections_["policy"].records) {
    const std::string name = Canonical(Text(record, "name", ""));
    if (name.empty()) continue;
    const auto [earlier, inserted] = seen.emplace(name, record.row);
    const auto field =
        std::ranges::find(kPolicyFields, name, &PolicyField::name);
    const std::string path = "policy." + name;
    if (!inserted) {
      Fault(record, "name",
            fmt::format("\"{}\" is already set in row {}", name,
                        earlier->second));
    } else if (name == kLinkRate) {
      policy.set_link_kbit_per_s(Number(record, "value", path));
    } else if (field != kPolicyFields.end()) {
      (policy.*(field->set))(Share(record, "value", path));
    } else {
      Fault(record, "name", fmt::format("\"{}\" is not a policy", name));
    }
  }
}

std::string SheetReader::Text(const Record& record, const std::string& column,
                              const std::string& path) {
  const auto found = record.columns.find(column);
  if (found == record.columns.end()) {
    // The missing column is reported once, with the header row.
    unread_.insert(path);
    return {};
  }
  if (!path.empty()) cells_[path] = {record.row, found->second};
  const auto value = record.values.find(column);
  if (value == record.values.end() || value->second.empty()) {
    Fault(record, column, fmt::format("{} is missing", column));
    return {};
  }
  return value->second;
}

std::uint32_t SheetReader::Number(const Record& record,
                                  const std::string& column,
                                  const std::string& path) {
  const std::string text = Text(record, column, path);
  if (text.empty()) return 0;
  const auto value = ParseNumber<std::uint32_t>(text);
  if (!value) {
    Fault(record, column,
          fmt::format("\"{}\" is not a whole number without sign or "
                      "separators",
                      text));
  }
  return value.value_or(0);
}

bool SheetReader::Flag(const Record& record, const std::string& column,
                       const std::string& path) {
  const std::string text = Text(record, column, path);
  const std::string value = Canonical(text);
  if (value == "yes" || value == "true") return true;
  if (!value.empty() && value != "no" && value != "false") {
    Fault(record, column, fmt::format("\"{}\" is neither yes nor no", text));
  }
  return false;
}

double SheetReader::Share(const Record& record, const std::string& column,
                          const std::string& path) {
  const std::string text = Text(record, column, path);
  if (text.empty()) return 0;
  std::string_view digits = text;
  const bool percent = digits.ends_with('%');
  if (percent) digits.remove_suffix(1);
  const auto value = ParseNumber<double>(digits);
  if (!value) {
    Fault(record, column,
          fmt::format("\"{}\" is not a number such as 0.1 or 10%", text));
    return 0;
  }
  return percent ? *value / 100 : *value;
}

schema::Rank SheetReader::RankOf(const Record& record,
                                 const std::string& path) {
  const std::string text = Text(record, "rank", path);
  const std::string value = Canonical(text);
  if (value == "normal") return schema::RANK_NORMAL;
  if (value == "background") return schema::RANK_BACKGROUND;
  if (!value.empty() && value != "urgent") {
    Fault(record, "rank",
          fmt::format("\"{}\" is not urgent, normal or background", text));
  }
  return schema::RANK_URGENT;
}

void SheetReader::Fault(std::size_t row, std::size_t column,
                        std::string reason) {
  faults_.push_back({row, column, std::move(reason)});
}

void SheetReader::Fault(const Record& record, const std::string& column,
                        std::string reason) {
  const auto found = record.columns.find(column);
  Fault(record.row, found == record.columns.end() ? 0 : found->second,
        std::move(reason));
}

}  // namespace balsamhall
