"""The adapter to the platform: its table service, object store and machine list over HTTP."""
