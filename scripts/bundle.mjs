// esbuild plugin of all bundles: resolves workspace packages to their TypeScript sources.
export const workspacePackages = {
  name: 'workspace-packages',
  setup (context) {
    context.onResolve({ filter: /^@lavenderturn\// }, async (args) => {
      const name = args.path.slice('@lavenderturn/'.length)
      return { path: new URL(`../packages/${name}/src/index.ts`, import.meta.url).pathname, sideEffects: false }
    })
  }
}
