"""Choice of the store that a node uses."""

from collections.abc import Callable

from bergamotdeal.node import environment
from bergamotdeal.settings import model as settings_model
from bergamotdeal.store import core as store_core


def open_store(
    *,
    settings: settings_model.Settings,
    platform_hooks: environment.PlatformHooks,
    reactor,
    on_call: Callable[[], None],
    on_object_rejected: Callable[[str], None],
) -> store_core.Store | None:
    """Opens the store of the platform or of the settings, if there is one.

    Args:
      settings: The node's settings.
      platform_hooks: Integration points of the platform.
      reactor: The reactor.
      on_call: Called with each call of the store.
      on_object_rejected: Called with the reason why an object can't be read.
    """
    if platform_hooks.open_store is not None:
        return platform_hooks.open_store(reactor, on_call, on_object_rejected)
    if not settings.store.address:
        return None
    # Imported here to save the memory of an HTTP client without a store.
    from bergamotdeal.store import http as store_http

    return store_http.HttpStore(
        settings=settings.store, reactor=reactor, on_call=on_call
    )
