#pragma once

namespace celeryramp::admission {

class LinkBudget;
class ReturningCallers;
struct RunningRequest;
class RunningRequests;
class ServiceTimeDistribution;
class ServiceTimes;

} // namespace celeryramp::admission
