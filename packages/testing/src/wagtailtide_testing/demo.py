"""Run a small deployment on loopback and check what callers get.

Starts a platform, two engines, one ledger and three instances, calls them as
a caller would and checks each answer and the records of the backend servers.
The exit status is 0 only if everything held.
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
# Models are loaded after the document has been applied.
SERVING_TIMEOUT_S = 45.0
POLL_S = 0.5
MAX_TOKENS = 24

_DemoError = demo_processes.DemoError
MODEL = demo_deployment.MODEL
ADAPTER = demo_deployment.ADAPTER
VERSION = f'{MODEL.name}@{MODEL.version}'

_FAILURES = (_DemoError, OSError, LookupError, ValueError, httpx.HTTPError)


def expect(holds, what, seen=''):
    """Print a check that held; raise DemoError otherwise."""
    if not holds:
        raise _DemoError(f'expected {what}, got {seen}')
    print(f'ok: {what}', flush=True)


async def wait_until(what, timeout_s, holds):
    """Poll until a coroutine function returns no complaint.

    Raises:
        DemoError: It still complains after the timeout.
    """
    complaint = 'nothing'
    with anyio.move_on_after(timeout_s):
        while complaint:
            try:
                complaint = await holds()
            except httpx.TransportError as exc:
                complaint = repr(exc)
            if complaint:
                await anyio.sleep(POLL_S)
    expect(not complaint, what, complaint)


async def wait_ready(deployment, client):
    """Wait until all instances are ready and the model is served."""

    async def instances_ready():
        for url in deployment.admins:
            answer = await client.get(f'{url}/readyz')
            if answer.status_code != 200:
                return f'{url}: {answer.status_code} {answer.text}'
        return None

    async def model_served():
        for url in deployment.callers:
            answer = await client.post(
                f'{url}/v1/completions',
                json={
                    'model': f'{MODEL.name}:{ADAPTER.name}',
                    'prompt': 'ping',
                    'max_tokens': 1,
                },
                headers=deployment.authorization(),
            )
            if answer.status_code != 200:
                return f'{url}: {answer.status_code} {answer.text}'
        return None

    await wait_until('all instances ready', READY_TIMEOUT_S, instances_ready)
    await wait_until(
        'model and adapter served by each instance',
        SERVING_TIMEOUT_S,
        model_served,
    )


async def stream(deployment, client, url, path, body):
    """Send a streamed request, print its text and return it.

    Raises:
        DemoError: The answer is an error or not whole.
    """
    text, whole = '', False
    async with client.stream(
        'POST',
        f'{url}{path}',
        json={**body, 'stream': True, 'max_tokens': MAX_TOKENS},
        headers=deployment.authorization(),
    ) as answer:
        if answer.status_code != 200:
            await answer.aread()
            raise _DemoError(f'{path}: {answer.status_code} {answer.text}')
        async for line in answer.aiter_lines():
            if line == 'data: [DONE]':
                whole = True
            elif line.startswith('data: '):
                piece = read_piece(json.loads(line[6:]))
                print(piece, end='', flush=True)
                text += piece
    print()
    expect(whole, f'{path} ends with its end marker')
    return text


def read_piece(event):
    """Return the text of one event.

    Raises:
        DemoError: It reports an error.
    """
    if 'error' in event:
        raise _DemoError(f'error in a stream: {event}')
    choice = event['choices'][0]
    return choice.get('text') or choice.get('delta', {}).get('content', '')


async def check_models(deployment, client):
    """Stream a chat completion with an adapter and a text completion."""
    first, second, third = deployment.callers
    chat = {'messages': [{'role': 'user', 'content': 'Where are my tiles?'}]}
    text = await stream(
        deployment,
        client,
        first,
        '/v1/chat/completions',
        {**chat, 'model': f'{MODEL.name}:{ADAPTER.name}'},
    )
    wanted = tokens.expected_text(
        VERSION, ADAPTER.name, tokens.prompt_text(chat), MAX_TOKENS
    )
    expect(text == wanted, 'the chat completion is whole', text)
    body = {'model': MODEL.name, 'prompt': 'Dear family,'}
    text = await stream(deployment, client, second, '/v1/completions', body)
    wanted = tokens.expected_text(VERSION, None, body['prompt'], MAX_TOKENS)
    expect(text == wanted, 'the text completion is whole', text)
    answer = await client.get(
        f'{third}/v1/models', headers=deployment.authorization()
    )
    names = [item['id'] for item in answer.json().get('data', [])]
    expect(MODEL.name in names, 'the model is listed', answer.text)


async def check_ledger(deployment, client):
    """Look a claim up, post an order twice and call the open route."""
    first, second, third = deployment.callers
    answer = await client.get(
        f'{first}/claims/77', headers=deployment.authorization()
    )
    expect(answer.is_success, 'a claim is looked up', answer.text)
    expect(answer.json()['id'] == '77', 'it is the right claim', answer.text)
    order = {
        'json': {'tiles': 'QZJX'},
        'headers': {**deployment.authorization(), 'idempotency-key': 'demo-1'},
    }
    posted = await client.post(f'{second}/orders', **order)
    expect(posted.status_code == 201, 'an order is posted', posted.text)
    again = await client.post(f'{third}/orders', **order)
    expect(
        again.headers.get('idempotency-replayed') == 'true'
        and again.content == posted.content
        and again.status_code == posted.status_code,
        'the second post of it at another instance is replayed',
        f'{again.status_code} {again.headers} {again.text}',
    )
    url = deployment.backend_servers['ledger-1']
    applied = (await client.get(f'{url}/admin/applied')).json()['items']
    expect(len(applied) == 1, 'the order was applied once', applied)
    answer = await client.get(f'{first}/notices')
    expect(answer.is_success, 'the open route needs no key', answer.text)


async def check_refusal(deployment, client):
    """Check that callers without a key or with a wrong one are refused."""
    body = {'model': MODEL.name, 'prompt': 'x'}
    other = '1' if deployment.key.endswith('0') else '0'
    wrong = {'authorization': f'Bearer {deployment.key[:-1]}{other}'}
    for what, headers in (('without a key', {}), ('with a wrong key', wrong)):
        for url in deployment.callers:
            answer = await client.post(
                f'{url}/v1/completions', json=body, headers=headers
            )
            if answer.status_code != 401:
                break
        expect(
            answer.status_code == 401,
            f'a caller {what} is refused by each instance',
            answer.text,
        )


async def check_key_kept(deployment, client):
    """Check in the backend servers' records that the key reached none."""
    secret = deployment.key.rsplit('_', 1)[-1]
    for name, url in deployment.backend_servers.items():
        answer = await client.get(f'{url}/admin/requests')
        count = len(answer.json()['items'])
        expect(count, f'{name} recorded requests', answer.text)
        expect(
            secret not in answer.text,
            f'the key is in none of the {count} requests of {name}',
            'the key in its record',
        )


async def run(processes):
    """Start the deployment and run all checks."""
    async with httpx.AsyncClient(timeout=15, trust_env=False) as client:
        deployment = await demo_deployment.start_deployment(processes, client)
        await wait_ready(deployment, client)
        await check_models(deployment, client)
        await check_ledger(deployment, client)
        await check_refusal(deployment, client)
        await check_key_kept(deployment, client)


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
            print(processes.logs(), flush=True)
        finally:
            with anyio.CancelScope(shield=True):
                failures += await processes.stop_all()
    for failure in failures:
        print(f'failed: {failure}')
    print('demo failed' if failures else 'demo passed', flush=True)
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(anyio.run(main, backend='trio'))
