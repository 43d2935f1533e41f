// Compiles the header-only parts of Boost.Asio and Boost.Beast once.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
