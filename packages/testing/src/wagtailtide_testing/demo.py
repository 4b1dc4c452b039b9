"""Run a small deployment on loopback and check its responses.

Starts a platform, two engines, a ledger and three instances, sends requests
and checks each response and the requests recorded by the backend servers. The
exit status is 0 only if all checks passed.
"""

import json
import sys
import tempfile

import anyio
import httpx

from wagtailtide_testing import demo_deployment
from wagtailtide_testing import demo_processes
from wagtailtide_testing.standins import tokens

DEMO_TIMEOUT_S = 180.0
READY_TIMEOUT_S = 30.0
# Includes the loading of the model, which starts when the document is applied.
SERVING_TIMEOUT_S = 45.0
POLL_INTERVAL_S = 0.5
MAX_TOKENS = 24

_DemoError = demo_processes.DemoError
MODEL = demo_deployment.MODEL
ADAPTER = demo_deployment.ADAPTER
VERSION = f'{MODEL.name}@{MODEL.version}'

_FAILURES = (_DemoError, OSError, LookupError, ValueError, httpx.HTTPError)


def check(condition, description, got=''):
    """Print the description of a condition if it is true.

    Raises:
        DemoError: The condition is false.
    """
    if not condition:
        raise _DemoError(f'expected {description}, got {got}')
    print(f'ok: {description}', flush=True)


async def wait_until(description, timeout_s, find_problem):
    """Poll a coroutine function until it reports no problem.

    Args:
        description: Description of the awaited state.
        timeout_s: Seconds after which to give up.
        find_problem: Coroutine function that returns the description of a
            problem or None.

    Raises:
        DemoError: There is still a problem after the timeout.
    """
    problem = 'nothing'
    with anyio.move_on_after(timeout_s):
        while problem:
            try:
                problem = await find_problem()
            except httpx.TransportError as exc:
                problem = repr(exc)
            if problem:
                await anyio.sleep(POLL_INTERVAL_S)
    check(not problem, description, problem)


async def wait_ready(deployment, client):
    """Wait until all instances are ready and serve the model."""

    async def find_unready_instance():
        for url in deployment.admins:
            response = await client.get(f'{url}/readyz')
            if response.status_code != 200:
                return f'{url}: {response.status_code} {response.text}'
        return None

    async def find_instance_without_model():
        for url in deployment.callers:
            response = await client.post(
                f'{url}/v1/completions',
                json={
                    'model': f'{MODEL.name}:{ADAPTER.name}',
                    'prompt': 'ping',
                    'max_tokens': 1,
                },
                headers=deployment.authorization(),
            )
            if response.status_code != 200:
                return f'{url}: {response.status_code} {response.text}'
        return None

    await wait_until(
        'all instances ready', READY_TIMEOUT_S, find_unready_instance
    )
    await wait_until(
        'model and adapter served by each instance',
        SERVING_TIMEOUT_S,
        find_instance_without_model,
    )


async def stream(deployment, client, url, path, body):
    """Send a request, print the streamed text and return it.

    Raises:
        DemoError: The response is an error or incomplete.
    """
    text, complete = '', False
    async with client.stream(
        'POST',
        f'{url}{path}',
        json={**body, 'stream': True, 'max_tokens': MAX_TOKENS},
        headers=deployment.authorization(),
    ) as response:
        if response.status_code != 200:
            await response.aread()
            raise _DemoError(f'{path}: {response.status_code} {response.text}')
        async for line in response.aiter_lines():
            if line == 'data: [DONE]':
                complete = True
            elif line.startswith('data: '):
                piece = event_text(json.loads(line[6:]))
                print(piece, end='', flush=True)
                text += piece
    print()
    check(complete, f'the stream of {path} is complete')
    return text


def event_text(event):
    """Return the text of an event.

    Raises:
        DemoError: The event reports an error.
    """
    if 'error' in event:
        raise _DemoError(f'expected text in a stream, got an error: {event}')
    choice = event['choices'][0]
    return choice.get('text') or choice.get('delta', {}).get('content', '')


async def check_models(deployment, client):
    """Check a chat and a text completion, and the list of models."""
    first, second, third = deployment.callers
    chat = {'messages': [{'role': 'user', 'content': 'Where are my tiles?'}]}
    text = await stream(
        deployment,
        client,
        first,
        '/v1/chat/completions',
        {**chat, 'model': f'{MODEL.name}:{ADAPTER.name}'},
    )
    expected = tokens.expected_text(
        VERSION, ADAPTER.name, tokens.prompt_text(chat), MAX_TOKENS
    )
    check(text == expected, 'the chat completion has the expected text', text)
    body = {'model': MODEL.name, 'prompt': 'Dear family,'}
    text = await stream(deployment, client, second, '/v1/completions', body)
    expected = tokens.expected_text(VERSION, None, body['prompt'], MAX_TOKENS)
    check(text == expected, 'the text completion has the expected text', text)
    response = await client.get(
        f'{third}/v1/models', headers=deployment.authorization()
    )
    names = [item['id'] for item in response.json().get('data', [])]
    check(MODEL.name in names, 'the model is listed', response.text)


async def check_ledger(deployment, client):
    """Check a lookup, a repeated post and a request without a key."""
    first, second, third = deployment.callers
    response = await client.get(
        f'{first}/claims/77', headers=deployment.authorization()
    )
    check(response.is_success, 'a claim is looked up', response.text)
    check(
        response.json()['id'] == '77',
        'the response is for that claim',
        response.text,
    )
    order = {
        'json': {'tiles': 'QZJX'},
        'headers': {**deployment.authorization(), 'idempotency-key': 'demo-1'},
    }
    posted = await client.post(f'{second}/orders', **order)
    check(posted.status_code == 201, 'an order is posted', posted.text)
    repeated = await client.post(f'{third}/orders', **order)
    check(
        repeated.headers.get('idempotency-replayed') == 'true'
        and repeated.content == posted.content
        and repeated.status_code == posted.status_code,
        'the repeated post at another instance is replayed',
        f'{repeated.status_code} {repeated.headers} {repeated.text}',
    )
    url = deployment.backend_servers['ledger-1']
    applied = (await client.get(f'{url}/admin/applied')).json()['items']
    check(len(applied) == 1, 'the order was applied once', applied)
    response = await client.get(f'{first}/notices')
    check(response.is_success, 'the open route needs no key', response.text)


async def check_refusal(deployment, client):
    """Check that requests without a key or with a wrong key are refused."""
    body = {'model': MODEL.name, 'prompt': 'x'}
    last_char = '1' if deployment.key.endswith('0') else '0'
    wrong = {'authorization': f'Bearer {deployment.key[:-1]}{last_char}'}
    for description, headers in (
        ('without a key', {}),
        ('with a wrong key', wrong),
    ):
        for url in deployment.callers:
            response = await client.post(
                f'{url}/v1/completions', json=body, headers=headers
            )
            if response.status_code != 401:
                break
        check(
            response.status_code == 401,
            f'a request {description} is refused by each instance',
            response.text,
        )


async def check_key_not_forwarded(deployment, client):
    """Check that no backend server has received the key."""
    secret = deployment.key.rsplit('_', 1)[-1]
    for name, url in deployment.backend_servers.items():
        response = await client.get(f'{url}/admin/requests')
        count = len(response.json()['items'])
        check(count, f'{name} has recorded requests', response.text)
        check(
            secret not in response.text,
            f'none of the {count} requests at {name} contains the key',
            'the key in a request',
        )


async def run(processes):
    """Start the deployment and run all checks."""
    async with httpx.AsyncClient(timeout=15, trust_env=False) as client:
        deployment = await demo_deployment.start_deployment(processes, client)
        await wait_ready(deployment, client)
        await check_models(deployment, client)
        await check_ledger(deployment, client)
        await check_refusal(deployment, client)
        await check_key_not_forwarded(deployment, client)


async def main():
    """Run the demo and return the exit status."""
    failures = []
    with tempfile.TemporaryDirectory() as directory:
        processes = demo_processes.Processes(directory)
        try:
            with anyio.fail_after(DEMO_TIMEOUT_S):
                await run(processes)
        except _FAILURES as exc:
            failures.append(f'{type(exc).__name__}: {exc}')
            print(processes.log_tails(), flush=True)
        finally:
            with anyio.CancelScope(shield=True):
                failures += await processes.stop_all()
    for failure in failures:
        print(f'failed: {failure}')
    print('demo failed' if failures else 'demo passed', flush=True)
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(anyio.run(main, backend='trio'))
