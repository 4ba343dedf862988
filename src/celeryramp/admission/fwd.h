#pragma once

namespace celeryramp::admission {

class BodyBudget;
struct HeldBody;
class ConcurrencyLimit;
struct ConcurrencySample;
class LinkBudget;
class RefusedRequests;
struct RefusalState;
struct RunningRequest;
class RunningRequests;
class ServiceTimeDistribution;
class ServiceTimes;

} // namespace celeryramp::admission
