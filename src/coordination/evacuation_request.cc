#include "cowslipknot/coordination/evacuation_request.h"

namespace cowslipknot {
namespace {

std::vector<std::string> Names(const std::set<DomainId>& domains) {
  std::vector<std::string> names;
  names.reserve(domains.size());
  for (const auto& domain : domains) names.push_back(domain.Text());
  return names;
}

std::string WithSuggestion(const DomainId& domain,
                           const std::set<DomainId>& known) {
  const std::string suggestion = SuggestName(domain.Text(), Names(known));
  return "'" + domain.Text() + "'" +
         (suggestion.empty() ? "" : "; did you mean '" + suggestion + "'?");
}

}  // namespace

const std::set<DomainId>& EvacuatedDomains(const ConfigurationPtr& current) {
  static const std::set<DomainId> none;
  return current ? current->evacuated : none;
}

Result<std::set<DomainId>> DecideEvacuations(const std::set<DomainId>& in_force,
                                             const std::set<DomainId>& listed,
                                             const EvacuationRequest& request) {
  const DomainId& domain = request.domain;
  if (domain.Empty()) {
    return Fail(ResultCode::kMalformedRequest,
                "the failure domain's name is empty");
  }
  std::set<DomainId> next = in_force;
  if (request.action == EvacuationAction::kEnd) {
    if (next.erase(domain) == 0)
      return Fail(ResultCode::kNotEvacuated, WithSuggestion(domain, in_force));
    return next;
  }
  if (!in_force.contains(domain) && !listed.contains(domain))
    return Fail(ResultCode::kUnknownDomain, WithSuggestion(domain, listed));
  next.insert(domain);
  return next;
}

}  // namespace cowslipknot
