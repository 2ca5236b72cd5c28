"""The default deployment parameters of the policy tests."""

from __future__ import annotations

from dataclasses import replace

from cottonladder.model.parameters import RequestClass
from cottonladder.testbed.deployment_parameters import BASE_PARAMETERS

REQUEST_CLASSES = (RequestClass(0.8, 1.0), RequestClass(1.0, 3.0))
DEFAULT_PARAMETERS = replace(BASE_PARAMETERS, request_classes=REQUEST_CLASSES)
