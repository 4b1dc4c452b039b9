"""Documents in force on one instance."""

import dataclasses

from wagtailtide_core.config import catalog as catalogs


@dataclasses.dataclass(frozen=True)
class InvalidDocument:
    """A document version that was received but cannot be put in force.

    Attributes:
        version: Store version of the invalid document.
        problems: Descriptions of what is wrong, for the status page.
    """

    version: int
    problems: tuple[str, ...]


class ConfigState:
    """The document in force for each service; versions only increase.

    A service whose document was deleted keeps the version of the deletion, so
    that an older document that arrives late is not put in force again.

    Attributes:
        catalog: Lookup index over the documents in force. Each change
            replaces it as a whole.
        invalid: `InvalidDocument` by service: the newest one, while it is
            newer than the document in force.
    """

    def __init__(self, invariants):
        self.catalog = catalogs.EMPTY
        self.invalid = {}
        self._invariants = invariants
        self._documents = {}
        self._versions = {}

    @property
    def revision(self):
        """Highest version seen of any service, valid or not; 0 if none."""
        seen = [entry.version for entry in self.invalid.values()]
        return max([*self._versions.values(), *seen], default=0)

    @property
    def versions(self):
        """Versions in force by service, including those of deletions."""
        return dict(self._versions)

    def version_of(self, service):
        """Return the version in force or of the deletion; 0 if none."""
        return self._versions.get(service, 0)

    def seen_version(self, service):
        """Return the highest version seen, valid or not; 0 if none."""
        entry = self.invalid.get(service)
        invalid = entry.version if entry else 0
        return max(invalid, self.version_of(service))

    def document_of(self, service):
        """Return the document in force, or None."""
        return self._documents.get(service)

    def offer(self, service, version, document):
        """Put a document in force if it is newer than the one in force.

        Args:
            service: Name of the service.
            version: Store version of the document or of its deletion.
            document: Valid document, None if it was deleted.

        Returns:
            Whether it was put in force.

        Raises:
            InvariantError: If an older version would be put in force.
        """
        if version <= self.version_of(service):
            return False
        self._apply(service, version, document)
        return True

    def report_invalid(self, service, version, problems):
        """Record an invalid document.

        Args:
            service: Name of the service.
            version: Store version of the document.
            problems: Descriptions of what is wrong.

        Returns:
            Whether it is newer than all versions seen of the service.
        """
        if version <= self.seen_version(service):
            return False
        self.invalid[service] = InvalidDocument(version, tuple(problems))
        return True

    def _apply(self, service, version, document):
        in_force = self.catalog.versions.get(service, 0)
        self._invariants.check(
            'config_never_reverts',
            version > max(in_force, self.version_of(service)),
            service=service,
            version=version,
            in_force=in_force,
        )
        documents = dict(self._documents)
        documents.pop(service, None)
        if document is not None:
            documents[service] = document
        versions = {**self._versions, service: version}
        # Built before anything is replaced, so that an error leaves the
        # previous configuration in force.
        catalog = catalogs.build(documents, versions)
        self._documents, self._versions = documents, versions
        self.catalog = catalog
        entry = self.invalid.get(service)
        if entry and entry.version < version:
            del self.invalid[service]
