#pragma once

/*! @file
 *  Forward declarations of the http module: strict HTTP/1.1 parsers, and asynchronous connections
 *  from callers, to the node's backend server and to the platform.
 */

namespace celeryramp::http {

struct Answer;
class AnswerReader;
class CallerConnection;
class ClientConnection;
class ClientPool;
class CloseDecision;
struct Exchange;
struct Header;
class Listener;
struct Request;
class RequestReader;
class ResponseWriter;

} // namespace celeryramp::http
