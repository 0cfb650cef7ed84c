"""Client factory of a single connection to the backend server."""

from collections.abc import Callable

from twisted.internet import protocol

from bergamotdeal.node import server_connection


class ConnectionFactory(protocol.ClientFactory):
    """Client factory of a single connection.

    Args:
      connection: Connection to establish.
      on_connected: Called with the connection when it is established.
      on_failed: Called when the connection can't be established.
    """

    noisy = False

    def __init__(
        self,
        *,
        connection: server_connection.ServerConnection,
        on_connected: Callable[[server_connection.ServerConnection], None],
        on_failed: Callable[[], None],
    ) -> None:
        self._connection = connection
        self._on_connected = on_connected
        self._on_failed = on_failed

    def buildProtocol(self, addr) -> server_connection.ServerConnection:
        """Returns the connection, which reports when it is established.

        Args:
          addr: Address of the server.
        """
        del addr
        connection = self._connection
        original_connection_made = connection.connectionMade

        def connection_made() -> None:
            original_connection_made()
            self._on_connected(connection)

        connection.connectionMade = connection_made
        return connection

    def clientConnectionFailed(self, connector, reason) -> None:
        """Reports that the connection can't be established.

        Args:
          connector: Connector of the attempt.
          reason: Why the attempt failed.
        """
        del connector, reason
        self._on_failed()
