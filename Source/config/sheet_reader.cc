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

// Columns that a section must have and may have.
struct SectionSpec {
  std::string_view name;
  std::vector<std::string> required;
  std::vector<std::string> optional;
};

const std::vector<SectionSpec>& SectionSpecs() {
  static const std::vector<SectionSpec> specs = {
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
  return specs;
}

const SectionSpec* FindSectionSpec(const std::string& name) {
  const auto found =
      std::ranges::find(SectionSpecs(), name, &SectionSpec::name);
  return found == SectionSpecs().end() ? nullptr : &*found;
}

// Returns text in lower case with "_" for spaces and hyphens: sheets write
// names and flags with spaces and capitals, such as "Data centre".
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
         FindSectionSpec(Canonical(text.substr(0, end))) != nullptr;
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

SheetReader::SheetReader(CsvTable table) : errors_(std::move(table.errors)) {
  const auto other = std::ranges::find_if(table.rows, UsesSemicolons);
  if (other != table.rows.end()) {
    // The cells can't be told apart, so further errors would be misleading.
    wrong_separator_ = true;
    AddError(other->row, 1,
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

SheetReader::CellLocation SheetReader::Locate(std::string path) const {
  const auto exact = cell_locations_.find(path);
  if (exact != cell_locations_.end()) return exact->second;
  while (!path.empty()) {
    const auto end = path.find_last_of(".[");
    path.resize(end == std::string::npos ? 0 : end);
    const auto parent = cell_locations_.find(path);
    if (parent != cell_locations_.end()) return {parent->second.row, 0};
  }
  return {};
}

bool SheetReader::IsCascadingError(const std::string& path) const {
  return wrong_separator_ || paths_without_column_.contains(path) ||
         (dropped_endpoint_ && path.ends_with(".endpoints")) ||
         (dropped_kind_ && path.ends_with(".kinds"));
}

void SheetReader::ReadRow(CsvRow row) {
  if (row.cells.front().starts_with('#')) return;
  const std::string name = Canonical(row.cells.front());
  const SectionSpec* const spec = FindSectionSpec(name);
  if (spec == nullptr) {
    AddError(
        row.row, 1,
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
  const SectionSpec& spec = *FindSectionSpec(name);
  section.header_row = row.row;
  for (std::size_t i = 1; i < row.cells.size(); ++i) {
    const std::string column = Canonical(row.cells[i]);
    if (!column.empty() && !Contains(spec.required, column) &&
        !Contains(spec.optional, column)) {
      AddError(row.row, i + 1,
               fmt::format("\"{}\" is not a column of section {}: {}",
                           row.cells[i], name, fmt::join(spec.required, ", ")));
    } else if (!column.empty() && Contains(section.columns, column)) {
      AddError(row.row, i + 1,
               fmt::format("column \"{}\" appears twice", row.cells[i]));
    }
    section.columns.push_back(column);
  }
  for (const auto& column : spec.required) {
    if (!Contains(section.columns, column)) {
      AddError(row.row, 0,
               fmt::format("section {} lacks column \"{}\"", name, column));
    }
  }
}

void SheetReader::ReadRecord(Section& section, CsvRow row) {
  Record record{row.row, {}, {}};
  for (std::size_t i = 0; i < section.columns.size(); ++i) {
    // A row may end before the last column of the section; errors of the
    // missing cells still refer to their columns.
    if (!section.columns[i].empty()) record.columns[section.columns[i]] = i + 2;
  }
  for (std::size_t i = 1; i < row.cells.size(); ++i) {
    const bool named =
        i <= section.columns.size() && !section.columns[i - 1].empty();
    if (named) {
      record.values[section.columns[i - 1]] = std::move(row.cells[i]);
    } else if (!row.cells[i].empty()) {
      AddError(row.row, i + 1, "has a value but no column name above it");
    }
  }
  section.records.push_back(std::move(record));
}

void SheetReader::BuildCustomer() {
  const auto& records = sections_["customer"].records;
  if (records.empty()) {
    AddError(0, 0, "section customer is missing");
    return;
  }
  config_.set_customer(ReadText(records.front(), "name", "customer"));
  for (std::size_t i = 1; i < records.size(); ++i) {
    AddError(records[i].row, 0, "a sheet has one customer");
  }
}

void SheetReader::BuildServices() {
  for (const auto& record : sections_["service"].records) {
    const int index = config_.services_size();
    const std::string path = fmt::format("services[{}]", index);
    auto& service = *config_.add_services();
    cell_locations_[path] = {record.row, 0};
    service.set_name(ReadText(record, "name", path + ".name"));
    service.set_keyed(ReadFlag(record, "divided_by_key", path + ".keyed"));
    service.set_partitions(
        ReadNumber(record, "partitions", path + ".partitions"));
    // CheckConfig() reports a repeated name; the first one is used here.
    service_indexes_.emplace(service.name(), index);
  }
}

std::optional<int> SheetReader::FindServiceIndex(const Record& record) {
  const std::string name = ReadText(record, "service", "");
  if (name.empty()) return std::nullopt;
  const auto found = service_indexes_.find(name);
  if (found != service_indexes_.end()) return found->second;
  AddError(record, "service",
           fmt::format("\"{}\" is not the name of a service row", name));
  return std::nullopt;
}

void SheetReader::BuildEndpoints() {
  for (const auto& record : sections_["endpoint"].records) {
    const auto index = FindServiceIndex(record);
    if (!index) {
      dropped_endpoint_ = true;
      continue;
    }
    auto& service = *config_.mutable_services(*index);
    const std::string path = fmt::format("services[{}].endpoints[{}]", *index,
                                         service.endpoints_size());
    auto& endpoint = *service.add_endpoints();
    cell_locations_[path] = {record.row, 0};
    endpoint.set_name(ReadText(record, "name", path + ".name"));
    endpoint.set_data_centre(
        ReadText(record, "data_centre", path + ".data_centre"));
    endpoint.set_region(ReadText(record, "region", path + ".region"));
    endpoint.set_address(ReadText(record, "address", path + ".address"));
    endpoint.set_slots(ReadNumber(record, "slots", path + ".slots"));
    endpoint.set_connections(
        ReadNumber(record, "connections", path + ".connections"));
    endpoint.set_checks_fences(
        ReadFlag(record, "checks_fences", path + ".checks_fences"));
    if (record.values.contains("vm") && !record.values.at("vm").empty()) {
      endpoint.set_vm(ReadText(record, "vm", path + ".vm"));
    }
  }
}

void SheetReader::BuildKinds() {
  for (const auto& record : sections_["kind"].records) {
    const auto index = FindServiceIndex(record);
    if (!index) {
      dropped_kind_ = true;
      continue;
    }
    auto& service = *config_.mutable_services(*index);
    const std::string path =
        fmt::format("services[{}].kinds[{}]", *index, service.kinds_size());
    auto& kind = *service.add_kinds();
    cell_locations_[path] = {record.row, 0};
    kind.set_name(ReadText(record, "name", path + ".name"));
    kind.set_rank(ReadRank(record, path + ".rank"));
    kind.set_target_ms(ReadNumber(record, "target_ms", path + ".target_ms"));
    kind.set_deadline_ms(
        ReadNumber(record, "deadline_ms", path + ".deadline_ms"));
    kind.set_idempotent(ReadFlag(record, "idempotent", path + ".idempotent"));
    if (record.values.contains("long_running")) {
      kind.set_long_running(
          ReadFlag(record, "long_running", path + ".long_running"));
    }
  }
}

void SheetReader::BuildPolicy() {
  auto& policy = *config_.mutable_policy();
  policy = DefaultPolicy();
  std::map<std::string, std::size_t> seen;
  for (const auto& record : sections_["policy"].records) {
    const std::string name = Canonical(ReadText(record, "name", ""));
    if (name.empty()) continue;
    const auto [earlier, inserted] = seen.emplace(name, record.row);
    const auto field =
        std::ranges::find(kPolicyFields, name, &PolicyField::name);
    const std::string path = "policy." + name;
    if (!inserted) {
      AddError(record, "name",
               fmt::format("\"{}\" is already set in row {}", name,
                           earlier->second));
    } else if (name == kLinkRate) {
      policy.set_link_kbit_per_s(ReadNumber(record, "value", path));
    } else if (field != kPolicyFields.end()) {
      (policy.*(field->set))(ReadShare(record, "value", path));
    } else {
      AddError(record, "name", fmt::format("\"{}\" is not a policy", name));
    }
  }
}

std::string SheetReader::ReadText(const Record& record,
                                  const std::string& column,
                                  const std::string& path) {
  const auto found = record.columns.find(column);
  if (found == record.columns.end()) {
    // ReadHeader() reports the missing column once, for all records.
    paths_without_column_.insert(path);
    return {};
  }
  if (!path.empty()) cell_locations_[path] = {record.row, found->second};
  const auto value = record.values.find(column);
  if (value == record.values.end() || value->second.empty()) {
    AddError(record, column, fmt::format("{} is missing", column));
    return {};
  }
  return value->second;
}

std::uint32_t SheetReader::ReadNumber(const Record& record,
                                      const std::string& column,
                                      const std::string& path) {
  const std::string text = ReadText(record, column, path);
  if (text.empty()) return 0;
  const auto value = ParseNumber<std::uint32_t>(text);
  if (!value) {
    AddError(record, column,
             fmt::format("\"{}\" is not a whole number without sign or "
                         "separators",
                         text));
  }
  return value.value_or(0);
}

bool SheetReader::ReadFlag(const Record& record, const std::string& column,
                           const std::string& path) {
  const std::string text = ReadText(record, column, path);
  const std::string value = Canonical(text);
  if (value == "yes" || value == "true") return true;
  if (!value.empty() && value != "no" && value != "false") {
    AddError(record, column, fmt::format("\"{}\" is neither yes nor no", text));
  }
  return false;
}

double SheetReader::ReadShare(const Record& record, const std::string& column,
                              const std::string& path) {
  const std::string text = ReadText(record, column, path);
  if (text.empty()) return 0;
  std::string_view digits = text;
  const bool percent = digits.ends_with('%');
  if (percent) digits.remove_suffix(1);
  const auto value = ParseNumber<double>(digits);
  if (!value) {
    AddError(record, column,
             fmt::format("\"{}\" is not a number such as 0.1 or 10%", text));
    return 0;
  }
  return percent ? *value / 100 : *value;
}

schema::Rank SheetReader::ReadRank(const Record& record,
                                   const std::string& path) {
  const std::string text = ReadText(record, "rank", path);
  const std::string value = Canonical(text);
  if (value == "normal") return schema::RANK_NORMAL;
  if (value == "background") return schema::RANK_BACKGROUND;
  if (!value.empty() && value != "urgent") {
    AddError(record, "rank",
             fmt::format("\"{}\" is not urgent, normal or background", text));
  }
  return schema::RANK_URGENT;
}

void SheetReader::AddError(std::size_t row, std::size_t column,
                           std::string reason) {
  errors_.push_back({row, column, std::move(reason)});
}

void SheetReader::AddError(const Record& record, const std::string& column,
                           std::string reason) {
  const auto found = record.columns.find(column);
  AddError(record.row, found == record.columns.end() ? 0 : found->second,
           std::move(reason));
}

}  // namespace balsamhall
